package tulipshed.decision;

/** An idle connection to an endpoint, which stays open until {@code expiresAtUs}, in microseconds. */
record IdleConnection(EndpointState endpoint, long expiresAtUs) {}

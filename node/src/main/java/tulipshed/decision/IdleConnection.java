package tulipshed.decision;

/** An unused connection to an endpoint that stays open until {@code untilUs}, in microseconds. */
record IdleConnection(EndpointState endpoint, long untilUs) {}

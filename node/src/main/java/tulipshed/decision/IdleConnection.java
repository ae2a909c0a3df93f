package tulipshed.decision;

/** A connection to a server that stays open unused until {@code untilUs}, in microseconds. */
record IdleConnection(EndpointState server, long untilUs) {}

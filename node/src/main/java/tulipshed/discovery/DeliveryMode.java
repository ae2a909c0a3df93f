package tulipshed.discovery;

import tulipshed.limits.DiscoveryLimits;

/** The kind of server that provides the endpoint list, which determines how long a call may wait for changes. */
enum DeliveryMode {
    /** Calls go to discovery itself; the decision module requests the next call after a failure. */
    POLLED,
    /**
     * Calls go to an agent on the node's machine to which discovery pushes the list; failures are retried without a
     * request by the decision module.
     */
    PUSHED_TO_AGENT;

    /** Longest time for which the server may hold its response until there are changes, in milliseconds. */
    double longPollMs(DiscoveryLimits limits) {
        return this == PUSHED_TO_AGENT ? limits.agentWaitMs() : limits.watchWaitMs();
    }

    /**
     * Longest time that the first byte of the response may take beyond the requested wait while the server responds in
     * time, in milliseconds.
     */
    double responseTimeoutMs(DiscoveryLimits limits) {
        return this == PUSHED_TO_AGENT ? limits.agentTimeoutMs() : limits.watchTimeoutMs();
    }

    /** Longest timeout for a server that responds late, in milliseconds. */
    double maxResponseTimeoutMs(DiscoveryLimits limits) {
        return this == PUSHED_TO_AGENT ? limits.lateResponseTimeoutMs() : limits.maxWatchTimeoutMs();
    }
}

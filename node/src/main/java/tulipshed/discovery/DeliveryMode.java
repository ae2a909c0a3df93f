package tulipshed.discovery;

import tulipshed.limits.DiscoveryLimits;

/** Who serves the endpoint list, which decides how long a call may wait there for changes. */
enum DeliveryMode {
    /** Discovery itself; the decision module says when to call again after a failure. */
    POLLED,
    /** An agent on the node's machine that discovery pushes the list to; it is polled without a prompt. */
    PUSHED_TO_AGENT;

    /** How long the server may hold back its response until there are changes, in milliseconds. */
    double longPollMs(DiscoveryLimits limits) {
        return this == PUSHED_TO_AGENT ? limits.agentWaitMs() : limits.watchWaitMs();
    }

    /** How long the first byte of the response may take beyond the wait that was requested, in milliseconds. */
    double responseTimeoutMs(DiscoveryLimits limits) {
        return this == PUSHED_TO_AGENT ? limits.agentTimeoutMs() : limits.watchTimeoutMs();
    }
}

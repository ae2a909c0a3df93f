package tulipshed.limits;

/**
 * Limits of requests to the discovery service and to its agents.
 *
 * @param maxHeadBytes the maximum length of a response head
 * @param maxBodyBytes the maximum length of a response body
 * @param connectTimeoutMs the timeout for establishing a connection
 * @param maxConnectTimeoutMs the longest timeout for a service that accepts connections late; long enough for the
 *     platform to send its request for a connection again after 1 s
 * @param watchWaitMs how long the service holds a watch request (long poll) until the list changes
 * @param watchTimeoutMs the time after that wait at which a missing response counts as a failure; the failure and the
 *     next request must fit into 6 s, in which a node must receive a change of the list after any failed request
 *     (see EndpointWatchTimeoutTest)
 * @param lateResponseTimeoutMs the time after its wait by which a late response may begin: the timeout after a call without
 *     a response, and the longest one of an agent
 * @param maxWatchTimeoutMs the longest timeout for the start of a response of a service that responds late; two late
 *     responses in a row must fit into 6 s
 * @param responseTimeoutMs the timeout for the rest of a response after its first byte
 * @param maxResponseTimeoutMs the longest such timeout for a service whose responses take long to arrive
 * @param agentWaitMs how long an agent, which receives lists by push, holds a request; the agent runs on the
 *     node's machine, so the requests cost nothing, and a short wait detects an unresponsive agent early
 * @param agentTimeoutMs the time after that wait at which a missing response of an agent counts as a failure
 * @param agentRetryDelayMs the delay after a failed request to an agent
 * @param agentPollIntervalMs the delay after a response without a change from an agent, or from a service that did not hold
 *     the request; must be below 200 ms, at which the watch would end
 * @param startTimeoutMs how long a starting process waits for the list before it uses the cached list
 */
public record DiscoveryLimits(
        int maxHeadBytes,
        int maxBodyBytes,
        double connectTimeoutMs,
        double maxConnectTimeoutMs,
        double watchWaitMs,
        double watchTimeoutMs,
        double lateResponseTimeoutMs,
        double maxWatchTimeoutMs,
        double responseTimeoutMs,
        double maxResponseTimeoutMs,
        double agentWaitMs,
        double agentTimeoutMs,
        double agentRetryDelayMs,
        double agentPollIntervalMs,
        double startTimeoutMs) {
    private static final int KIBIBYTE = 1024;
    private static final int MEBIBYTE = 1024 * 1024;

    /** The default limits. */
    static DiscoveryLimits defaults() {
        return new DiscoveryLimits(
                /* maxHeadBytes= */ 8 * KIBIBYTE,
                /* maxBodyBytes= */ 4 * MEBIBYTE,
                /* connectTimeoutMs= */ 500,
                /* maxConnectTimeoutMs= */ 1_250,
                /* watchWaitMs= */ 2_500,
                /* watchTimeoutMs= */ 1_500,
                /* lateResponseTimeoutMs= */ 2_000,
                /* maxWatchTimeoutMs= */ 3_000,
                /* responseTimeoutMs= */ 1_000,
                /* maxResponseTimeoutMs= */ 2_000,
                /* agentWaitMs= */ 1_000,
                /* agentTimeoutMs= */ 500,
                /* agentRetryDelayMs= */ 200,
                /* agentPollIntervalMs= */ 100,
                /* startTimeoutMs= */ 2_500);
    }
}

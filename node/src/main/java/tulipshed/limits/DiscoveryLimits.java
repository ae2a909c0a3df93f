package tulipshed.limits;

/**
 * Requests to the discovery service and to its agents.
 *
 * @param headBytes the length of the longest response head
 * @param bodyBytes the length of the longest response body
 * @param connectTimeoutMs how long a connection may take to be established
 * @param watchWaitMs how long a watch request waits at the service for a change
 * @param watchTimeoutMs how long after that wait a missing response counts as a failure; failure and next request
 *     must fit into 6 s
 * @param responseTimeoutMs how long a response may take from its first byte until it is complete
 * @param agentWaitMs how long a request waits at an agent, which receives lists by push; such requests cost nothing,
 *     and short ones reveal an unresponsive agent soon
 * @param agentTimeoutMs how long after that wait a missing response of an agent counts as a failure
 * @param agentRetryDelayMs the delay after a failed request to an agent
 * @param agentPollIntervalMs the time between two requests to an agent that has no change and answers at once; under
 *     200 ms, or the watch would end
 * @param startTimeoutMs how long a process that starts waits for the list before it serves by the cached one
 */
public record DiscoveryLimits(
        int headBytes,
        int bodyBytes,
        double connectTimeoutMs,
        double watchWaitMs,
        double watchTimeoutMs,
        double responseTimeoutMs,
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
                /* headBytes= */ 8 * KIBIBYTE,
                /* bodyBytes= */ 4 * MEBIBYTE,
                /* connectTimeoutMs= */ 500,
                /* watchWaitMs= */ 2_500,
                /* watchTimeoutMs= */ 1_500,
                /* responseTimeoutMs= */ 1_000,
                /* agentWaitMs= */ 1_000,
                /* agentTimeoutMs= */ 500,
                /* agentRetryDelayMs= */ 200,
                /* agentPollIntervalMs= */ 100,
                /* startTimeoutMs= */ 2_500);
    }
}

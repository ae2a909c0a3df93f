package tulipshed.decision.api;

/**
 * The load report of an endpoint; a value that was not reported is NaN.
 *
 * @param inflight requests in flight, at least 0
 * @param queue requests queued, at least 0
 * @param cpu CPU use, from 0 to 1
 * @param latencyMs mean latency, in milliseconds
 * @param rps requests completed per second
 * @param errorRps requests failed per second
 * @param load load relative to capacity
 * @param backlogS time to process the queue, in seconds
 */
public record LoadReport(
        double inflight,
        double queue,
        double cpu,
        double latencyMs,
        double rps,
        double errorRps,
        double load,
        double backlogS) {
    /** A report without any value. */
    public static final LoadReport NONE = new LoadReport(
            Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}

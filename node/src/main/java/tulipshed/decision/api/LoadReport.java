package tulipshed.decision.api;

/**
 * The load report of an endpoint; a value that was not reported is NaN.
 *
 * @param inflight requests in flight
 * @param queue requests queued
 * @param cpu CPU use, from 0 to 1
 * @param latencyMs latency in milliseconds
 * @param rps requests a second
 * @param errorRps failed requests a second
 * @param load load relative to capacity
 * @param backlogS time in seconds to work off the queue
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
    /** The report that has no value. */
    public static final LoadReport NONE = new LoadReport(
            Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}

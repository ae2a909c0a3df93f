package tulipshed.emulator.scenario;

/**
 * Network latency, one way.
 *
 * @param sites number of sites, over which nodes and endpoints are spread
 * @param withinSiteMs latency within a site, in milliseconds
 * @param betweenSitesMs latency between two sites, in milliseconds
 * @param jitterMs mean of the exponential jitter that is added, in milliseconds
 */
public record NetworkSettings(int sites, double withinSiteMs, double betweenSitesMs, double jitterMs) {
    /** The least latency between any two parts, in milliseconds: the lookahead of the parallel engine. */
    public double minLatencyMs() {
        return Math.min(withinSiteMs, sites > 1 ? betweenSitesMs : withinSiteMs);
    }
}

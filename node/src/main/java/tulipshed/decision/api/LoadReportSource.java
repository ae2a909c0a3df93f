package tulipshed.decision.api;

/** Source of load reports. */
public enum LoadReportSource {
    /** There are none. */
    NONE,
    /** They come with responses. */
    RESPONSES,
    /** They come with health checks. */
    HEALTH_CHECKS
}

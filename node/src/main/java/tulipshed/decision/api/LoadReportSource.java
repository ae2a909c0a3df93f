package tulipshed.decision.api;

/** Source of load reports. */
public enum LoadReportSource {
    /** No load reports. */
    NONE,
    /** Included in responses. */
    RESPONSES,
    /** Included in health check results. */
    HEALTH_CHECKS
}

package tulipshed.proxy;

/** Sends health checks, to which endpoints respond with a load report. Called on the event-loop thread only. */
public interface HealthChecker {
    /**
     * Checks an endpoint that is serving and has an address. Each check completes once, by {@link
     * ProxyCore#healthCheckCompleted}, even if it cannot be sent; overlapping checks of one endpoint may share a
     * response.
     */
    void check(Endpoint endpoint);
}

package tulipshed.proxy;

/** Asks endpoints for their load. Called on the event-loop thread only. */
public interface HealthChecker {
    /**
     * Checks an endpoint that is serving and has an address. Each check completes once, by {@link
     * ProxyCore#healthCheckCompleted}, also where it cannot be sent; overlapping checks of one endpoint may share a
     * response.
     */
    void check(Endpoint endpoint);
}

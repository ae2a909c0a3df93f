package tulipshed.proxy;

import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;

/**
 * Sends the health checks that the decision module requests. Each has exactly one result; a check that cannot be sent
 * completes immediately with the outcome UNUSED. Confined to the event-loop thread.
 */
final class HealthCheckDispatcher {
    private final ActiveSettings settings;
    private final EventBatch events;
    private final EndpointRegistry endpoints;
    /** Null before {@link #setHealthChecker}; no check can be sent until then. */
    private HealthChecker healthChecker;

    HealthCheckDispatcher(CoreContext context, EndpointRegistry endpoints) {
        this.settings = context.settings();
        this.events = context.events();
        this.endpoints = endpoints;
    }

    /** Sets the sender of health checks. */
    void setHealthChecker(HealthChecker checker) {
        healthChecker = checker;
    }

    /** Starts a health check of the endpoint with that id. */
    void start(String endpointId) {
        Endpoint endpoint = endpoints.find(endpointId);
        if (healthChecker != null && settings.allowsHealthChecks() && endpoint != null && endpoint.isAvailable()) {
            healthChecker.check(endpoint);
        } else {
            completed(endpointId, Outcome.UNUSED, LoadReport.NONE);
        }
    }

    /** Reports the result of a health check to the decision module. */
    void completed(String endpointId, Outcome outcome, LoadReport report) {
        events.add((balancer, nowMs, nowUs) -> balancer.healthCheckCompleted(nowUs, endpointId, outcome, report));
    }
}

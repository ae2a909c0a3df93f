package tulipshed.limits;

/**
 * Timeouts of requests of all protocols.
 *
 * @param responseMarginMs the time between the latest final response and the deadline of the client, so that the response
 *     arrives before the deadline
 * @param endpointTimeoutMs the time without data after a client's message at which an endpoint counts as unresponsive; usual
 *     pauses are shorter
 * @param adoptionTimeoutMs the timeout for resuming a connection that was established before the start
 * @param unknownEndpointPollMs the interval at which the endpoint list is checked for the endpoint of such a connection
 * @param unlistedEndpointTimeoutMs the time for which that endpoint is awaited once discovery has delivered a list since
 *     the start
 * @param routePollMs the interval at which pools and routes are re-evaluated
 */
public record RequestLimits(
        double responseMarginMs,
        double endpointTimeoutMs,
        double adoptionTimeoutMs,
        double unknownEndpointPollMs,
        double unlistedEndpointTimeoutMs,
        double routePollMs) {
    /** The default limits. */
    static RequestLimits defaults() {
        return new RequestLimits(
                /* responseMarginMs= */ 40,
                /* endpointTimeoutMs= */ 800,
                /* adoptionTimeoutMs= */ 40_000,
                /* unknownEndpointPollMs= */ 100,
                /* unlistedEndpointTimeoutMs= */ 1_000,
                /* routePollMs= */ 100);
    }
}

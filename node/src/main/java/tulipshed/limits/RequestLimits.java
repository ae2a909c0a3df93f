package tulipshed.limits;

/**
 * Timeouts of requests, whichever the protocol.
 *
 * @param responseMarginMs how long before the client's deadline the final response is sent, so that it arrives in time
 * @param endpointTimeoutMs how long an endpoint may send nothing after a client's message before it counts as
 *     unresponsive; usual pauses are shorter
 * @param adoptionTimeoutMs how long connections that were established before the start may take to reconnect
 * @param unknownEndpointPollMs how often the endpoint list is checked for the endpoint of such a connection
 * @param unlistedEndpointTimeoutMs how long that endpoint is awaited once discovery has sent a list since the start
 * @param routePollMs how often routes are checked for a change of pool
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

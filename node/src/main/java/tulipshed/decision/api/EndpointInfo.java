package tulipshed.decision.api;

/**
 * One entry of the endpoint list.
 *
 * @param id unique ID of the endpoint
 * @param status whether it accepts connections
 * @param zone name of its zone, possibly empty
 * @param cell index of its cell within the site
 * @param machineType name of its machine type, possibly empty
 * @param weight relative capacity, by the {@link WeightSemantics} of the settings; at least 0
 * @param startedUs when its process started, in microseconds on the clock of the events; may be negative, and 0 if the
 *     process has run for long. A changed value means another process. Never earlier than the true start, except for
 *     starts listed before the balancer's own start by clocks that differ
 */
public record EndpointInfo(
        String id, EndpointStatus status, String zone, int cell, String machineType, double weight, long startedUs) {}

package tulipshed.decision.api;

/**
 * One entry of the endpoint list.
 *
 * @param id unique ID of the endpoint
 * @param status whether it accepts connections
 * @param zone name of its zone, possibly empty
 * @param cell index of its cell within the site
 * @param machineType name of its machine type, possibly empty
 * @param weight relative capacity as defined by the {@link WeightSemantics} of the settings; at least 0
 * @param startedUs start time of its process, in microseconds on the clock of the events; may be negative, and 0 if the
 *     process started long ago. A changed value means a new process. Never earlier than the actual start, except for
 *     processes that started before the balancer, as the clocks that their listed start times come from may differ
 */
public record EndpointInfo(
        String id, EndpointStatus status, String zone, int cell, String machineType, double weight, long startedUs) {}

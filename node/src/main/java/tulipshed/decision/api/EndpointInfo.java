package tulipshed.decision.api;

/**
 * One entry of the endpoint list.
 *
 * @param weight relative capacity, by the {@link WeightSemantics} of the settings; at least 0
 * @param startedUs start of its process on the clock of the events, as far as the balancer knows it: never earlier than
 *     it was, but for starts listed before the balancer's own start by clocks that differ; may be negative; 0 if it has
 *     run for long; another value is another process
 */
public record EndpointInfo(
        String id, EndpointStatus status, String zone, int cell, String machineType, double weight, long startedUs) {}

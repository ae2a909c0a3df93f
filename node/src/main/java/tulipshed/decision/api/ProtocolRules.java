package tulipshed.decision.api;

/**
 * Parameters of the protocol rules.
 *
 * @param drainGraceUs time that a draining endpoint leaves its connections, in microseconds
 * @param pollWithinUs time from the start within which the endpoint list must be polled first, in microseconds
 * @param slowStartShare share of its capacity that an endpoint has at its start, from 0 to 1
 * @param slowStartUs time from its start after which an endpoint has its full capacity, in microseconds
 * @param overloadFactor multiple of the mean load from which an endpoint is overloaded
 * @param overloadUs time that an endpoint endures an overload before it drops connections, in microseconds
 */
public record ProtocolRules(
        long drainGraceUs,
        long pollWithinUs,
        double slowStartShare,
        long slowStartUs,
        double overloadFactor,
        long overloadUs) {}

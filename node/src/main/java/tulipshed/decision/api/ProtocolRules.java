package tulipshed.decision.api;

/**
 * Parameters of the protocol rules.
 *
 * @param drainGraceUs time for which a draining endpoint keeps its connections open, in microseconds
 * @param pollWithinUs time after the start within which the first poll of the endpoint list is due, in microseconds
 * @param slowStartShare share of its full capacity that an endpoint has when it starts, from 0 to 1
 * @param slowStartUs time after its start until an endpoint reaches its full capacity, in microseconds
 * @param overloadFactor multiple of the mean load above which an endpoint is overloaded
 * @param overloadUs duration of an overload after which an endpoint drops connections, in microseconds
 */
public record ProtocolRules(
        long drainGraceUs,
        long pollWithinUs,
        double slowStartShare,
        long slowStartUs,
        double overloadFactor,
        long overloadUs) {}

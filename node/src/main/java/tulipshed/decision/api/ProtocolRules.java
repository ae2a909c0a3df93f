package tulipshed.decision.api;

/**
 * Parameters of the protocol rules; times are in microseconds.
 *
 * @param drainGraceUs time that a draining endpoint leaves its connections
 * @param pollWithinUs time within which the list must be polled first
 * @param slowStartShare share of its capacity that an endpoint has at its start, from 0 to 1
 * @param slowStartUs time after which an endpoint has its full capacity
 * @param overloadFactor multiple of the mean load at which an endpoint is overloaded
 * @param overloadUs time for which it bears that
 */
public record ProtocolRules(
        long drainGraceUs,
        long pollWithinUs,
        double slowStartShare,
        long slowStartUs,
        double overloadFactor,
        long overloadUs) {}

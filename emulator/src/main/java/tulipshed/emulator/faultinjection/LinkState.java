package tulipshed.emulator.faultinjection;

/**
 * The state of one link between a node and an endpoint or discovery, seen from the node's end.
 *
 * @param holdsOutbound whether bytes sent by the node are held while this lasts, to be delivered late
 * @param holdsInbound whether bytes sent to the node are held likewise
 * @param blackhole whether new connections are accepted and then receive nothing; they are reset once this is over
 * @param latencyMs added latency of each delivery, in either direction, in milliseconds
 * @param jitterMs upper bound of a uniformly random latency on top, in milliseconds; deliveries of one direction keep
 *     their order
 */
record LinkState(boolean holdsOutbound, boolean holdsInbound, boolean blackhole, double latencyMs, double jitterMs) {
    /** Neither holds, delays nor loses anything. */
    static final LinkState HEALTHY = new LinkState(false, false, false, 0, 0);

    /** Both states at the same time: what either holds is held, and the longer latency counts. */
    LinkState combinedWith(LinkState other) {
        return new LinkState(
                holdsOutbound || other.holdsOutbound,
                holdsInbound || other.holdsInbound,
                blackhole || other.blackhole,
                Math.max(latencyMs, other.latencyMs),
                Math.max(jitterMs, other.jitterMs));
    }
}

package tulipshed.emulator.faultinjection;

/**
 * How a link is now, seen from the node's end.
 *
 * @param holdsOut what the node sends is held until this is over, and then arrives late
 * @param holdsBack what the node is sent is held likewise
 * @param deaf new connections are accepted and hear nothing; they are reset once it is over
 * @param delayMs how long each piece takes more, in either direction
 * @param jitterMs up to so much on top, by chance; pieces of one direction stay in order
 */
record LinkState(boolean holdsOut, boolean holdsBack, boolean deaf, double delayMs, double jitterMs) {
    static final LinkState SOUND = new LinkState(false, false, false, 0, 0);

    /** Both at the same time: whatever either holds is held, the longer delay counts. */
    LinkState and(LinkState o) {
        return new LinkState(
                holdsOut || o.holdsOut,
                holdsBack || o.holdsBack,
                deaf || o.deaf,
                Math.max(delayMs, o.delayMs),
                Math.max(jitterMs, o.jitterMs));
    }
}

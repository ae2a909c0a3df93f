package tulipshed.decision;

/**
 * What a balancer that holds few connections learns from those that serving members drop. Its counts tell nothing of a
 * member's load, and where no delay is told a dropped connection is the only news of one that is crowded. Members drop
 * the heaviest first, and a tenth of the connections can ask for half of all work: what comes again after a break is
 * where the load is, so that is refused, by chance, for as long as own connections go on being dropped.
 */
final class DropRateLoadShedder {
    /** Microseconds until a dropped connection says little any more: its member stays late, or is still cold, for as long. */
    private static final double FADE_US = 15e6;
    /** Chance of a refusal for each part of the own connections that was dropped: members drop an eighth at once. */
    private static final double WEIGHT = 8;
    /** Highest chance of a refusal: the rest find out when it is over. */
    private static final double MOST = 0.9;

    private final DecayingCounter dropped = new DecayingCounter(FADE_US);

    /** A serving member dropped a connection that stood; {@code now} in microseconds. */
    void dropped(long now) {
        dropped.add(now);
    }

    /**
     * The chance, from 0 to 0.9, with which a client that comes again is refused; 0 for one who holds a connection for
     * each member or more, as its own counts tell more. {@code now} in microseconds.
     */
    double refusal(long now, int open, int ready) {
        double recent = dropped.at(now);
        return open < ready ? Math.min(MOST, WEIGHT * recent / (open + 1 + recent)) : 0;
    }
}

package tulipshed.lab.rules;

/**
 * Holds all nodes together to the rule of cold members, for one member: the work that reached it in a sliding window
 * against what it could have done in that time.
 */
public final class ColdRule {
    private static final int SLOTS = 30; // of the window; so it counts up to a thirtieth short
    private static final double TOLD = 2.0 / 3; // of the work, from nodes that knew, makes it a breach

    private final int member;
    private final double factor;
    private final double slack;
    private final double slotMs;
    private final double[] work = new double[SLOTS];
    private final double[] told = new double[SLOTS];
    private final double[] able = new double[SLOTS];
    private long slot = -1;

    /**
     * The rule for one member: more than {@code factor} times its capacity over {@code windowMs} pushes it over.
     *
     * @param slack what is left to chance on top, in the unit of the work
     */
    public ColdRule(int member, double factor, double windowMs, double slack) {
        this.member = member;
        this.slack = slack;
        this.factor = factor;
        this.slotMs = windowMs / SLOTS;
    }

    /** A new process: what reached the old one does not count. */
    public void restart() {
        slot = -1;
        java.util.Arrays.fill(work, 0);
        java.util.Arrays.fill(told, 0);
        java.util.Arrays.fill(able, 0);
    }

    /**
     * Work reached the member.
     *
     * @param amount of work, in whichever unit
     * @param capacity what the member can take of it in a millisecond now
     * @param known whether the node that sent it had been told of the member's start
     */
    public void pushed(double atMs, double amount, double capacity, boolean known) {
        long now = (long) (atMs / slotMs);
        if (slot < 0) {
            slot = now - SLOTS;
        }
        for (long s = Math.max(slot + 1, now - SLOTS + 1); s <= now; s++) {
            int i = (int) (s % SLOTS);
            work[i] = told[i] = 0;
            able[i] = capacity * slotMs;
        }
        slot = Math.max(slot, now);
        int i = (int) (now % SLOTS);
        work[i] += amount;
        told[i] += known ? amount : 0;
    }

    private static double sum(double[] of) {
        double s = 0;
        for (double x : of) {
            s += x;
        }
        return s;
    }

    /** Whether the member falls over now. */
    public boolean falls() {
        return strain() > 1;
    }

    /** How near it is to falling; 1 is the bound. */
    public double strain() {
        double most = factor * sum(able) + slack;
        return most > 0 ? sum(work) / most : 0;
    }

    /** It fell: a breach where those who pushed it knew that it was cold. */
    public void fell(double atMs, RuleReport report, double ageMs) {
        if (sum(told) >= TOLD * sum(work)) {
            report.broken(Rule.COLD, atMs, member, "member " + member + ", " + Math.round(ageMs) + " ms old, was sent "
                    + Math.round(sum(work) / Math.max(1e-12, sum(able)) * 10) / 10.0 + " times what it could take");
        }
    }
}

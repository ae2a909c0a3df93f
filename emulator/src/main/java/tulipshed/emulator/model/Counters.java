package tulipshed.emulator.model;

import org.HdrHistogram.Histogram;
import tulipshed.emulator.invariants.InvariantReport;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.Scenario;

/** The counters of one thread. All are whole numbers, so that their sum does not depend on the number of threads. */
public final class Counters {
    private static final long LONGEST_US = 3_600_000_000L;

    final int seconds;
    private final int settled;
    private final double[] worth;
    /** By class: connections wanted, had within the aim, had late, and given up for a while. */
    final long[] asked;

    final long[] inAim;
    final long[] late;
    final long[] lost;
    /** Time in microseconds that clients wanted a connection, and that one stood with its messages in time: by class. */
    final long[] wantedUs;

    final long[] goodUs;
    /** By tenant. */
    final long[] tenantWantedUs;

    final long[] tenantGoodUs;
    /** By second and worth, in thousandths of a connection of worth 1. */
    final long[] secondWanted;

    final long[] secondGood;
    /** Attempts at endpoints, by second. */
    public final long[] attempts;

    /** Requests refused, by second. */
    public final long[] refused;
    /** Requests failed, by second. */
    public final long[] failed;
    /** Connections that broke, by second. */
    public final long[] resets;
    /** Connections that were migrated, by second. */
    public final long[] moves;

    final long[] came;
    /** Time of standing connections. */
    long standingUs;

    long left;
    long felt;
    /** Highest strain on a cold member, in thousandths of the bound. */
    long coldStrain;
    /** The same by the operators' formula, of what nodes sent that had been told of the start. */
    long slowStartStrain;

    final Histogram setupUs = new Histogram(1, LONGEST_US, 3);
    final Histogram waitUs = new Histogram(1, LONGEST_US, 3);
    /** How many set-ups a member held, by number, looked at at every tick. */
    final long[] queue = new long[64];

    final InvariantReport rules = new InvariantReport();

    Counters(Scenario s) {
        int classes = s.requestClasses().size();
        settled = (int) Math.ceil(s.settleMs() / 1000);
        worth = s.requestClasses().stream()
                .mapToDouble(RequestClassSettings::priorityWeight)
                .toArray();
        seconds = (int) Math.ceil(s.durationMs() / 1000) + 1;
        asked = new long[classes];
        inAim = new long[classes];
        late = new long[classes];
        lost = new long[classes];
        wantedUs = new long[classes];
        goodUs = new long[classes];
        tenantWantedUs = new long[s.tenants().size()];
        tenantGoodUs = new long[s.tenants().size()];
        secondWanted = new long[seconds];
        secondGood = new long[seconds];
        attempts = new long[seconds];
        refused = new long[seconds];
        failed = new long[seconds];
        resets = new long[seconds];
        moves = new long[seconds];
        came = new long[seconds];
    }

    /** What all threads of a world have counted. */
    static Counters sum(World world) {
        Counters sum = new Counters(world.scenario);
        for (Counters t : world.tallies) {
            sum.add(t);
        }
        return sum;
    }

    /** Adds 1 to a counter by second, at a virtual time. */
    public void at(long[] bySecond, double nowMs) {
        bySecond[Math.min(seconds - 1, (int) (nowMs / 1000))]++;
    }

    /** A client wanted its connection for so long, within a second. */
    void wanted(int requestClass, int tenant, int second, double ms) {
        if (second >= settled) {
            long us = Math.round(ms * 1000);
            wantedUs[requestClass] += us;
            tenantWantedUs[tenant] += us;
            secondWanted[Math.min(seconds - 1, second)] += Math.round(us * worth[requestClass]);
        }
    }

    /** Connections stood with their messages in time, for so many milliseconds together. */
    void good(int requestClass, int tenant, double nowMs, double ms) {
        int second = (int) (nowMs / 1000);
        if (second >= settled) {
            long us = Math.round(ms * 1000);
            goodUs[requestClass] += us;
            tenantGoodUs[tenant] += us;
            secondGood[Math.min(seconds - 1, second)] += Math.round(us * worth[requestClass]);
        }
    }

    /** Connections stood, well served or not. */
    void stood(double nowMs, double ms) {
        if ((int) (nowMs / 1000) >= settled) {
            standingUs += Math.round(ms * 1000);
        }
    }

    /** New work strains a cold member so much: by the rule here, and by the operators' formula. */
    void strained(double strain, double toldStrain) {
        coldStrain = Math.max(coldStrain, Math.round(strain * 1000));
        slowStartStrain = Math.max(slowStartStrain, Math.round(toldStrain * 1000));
    }

    private static void add(long[] to, long[] from) {
        for (int i = 0; i < to.length; i++) {
            to[i] += from[i];
        }
    }

    void add(Counters o) {
        long[][] mine = arrays();
        long[][] others = o.arrays();
        for (int i = 0; i < mine.length; i++) {
            add(mine[i], others[i]);
        }
        standingUs += o.standingUs;
        left += o.left;
        felt += o.felt;
        coldStrain = Math.max(coldStrain, o.coldStrain);
        slowStartStrain = Math.max(slowStartStrain, o.slowStartStrain);
        setupUs.add(o.setupUs);
        waitUs.add(o.waitUs);
        rules.add(o.rules);
    }

    private long[][] arrays() {
        return new long[][] {
            asked,
            inAim,
            late,
            lost,
            wantedUs,
            goodUs,
            tenantWantedUs,
            tenantGoodUs,
            secondWanted,
            secondGood,
            attempts,
            refused,
            failed,
            resets,
            moves,
            came,
            queue
        };
    }
}

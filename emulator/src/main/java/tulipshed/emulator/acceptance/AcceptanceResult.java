package tulipshed.emulator.acceptance;

import java.util.Locale;
import tulipshed.emulator.invariants.Invariant;
import tulipshed.emulator.invariants.InvariantReport;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.TenantSettings;

/**
 * What came of one day: the share of its worth that was served, what others served on the same day, what the gate wants,
 * how far the class that came off worst lies above what the gate wants of it, how near the nodes came to pushing a cold
 * member over by the operators' formula and by the stricter rule here, and why the gate is missed, or null.
 */
public record AcceptanceResult(
        ScenarioKind kind,
        long seed,
        int nodes,
        int members,
        double served,
        double seesLate,
        double plainest,
        double wants,
        double classMargin,
        double attempts,
        double refused,
        double strain,
        double ownStrain,
        String fault) {
    /** Half of what one serves that sees true states late. */
    private static final double PART = 0.5;
    /** On a calm day as well the plainest policy's share less this, or the late-seeing one's less the other, if that is lower. */
    private static final double PLAIN_LESS = 0.05;

    private static final double LATE_LESS = 0.1;
    /** The half holds as well for each class with at least this part of what is asked, or of the worth. */
    private static final double CLASS_ASKED = 0.05;
    /** A class of which the late-seeing one serves less than this is left out. */
    private static final double CLASS_SERVED = 0.3;
    /** A tenant with at least this part of the worth inside shares is served that part of what the late-seeing one serves it. */
    private static final double TENANT_SHARE = 0.05;

    private static final double TENANT_PART = 1.0 / 3;

    static double wants(ScenarioKind kind, double seesLate, double plainest) {
        double half = PART * seesLate;
        return kind == ScenarioKind.CALM ? Math.max(half, Math.min(plainest - PLAIN_LESS, seesLate - LATE_LESS)) : half;
    }

    /** Judges the node by what it, one who sees true states late, and the plainest policy served on the same day. */
    public static AcceptanceResult of(ScenarioKind kind, long seed, RunResult node, RunResult late, RunResult plain) {
        double served = node.figure("service");
        double wants = wants(kind, late.figure("service"), plain.figure("service"));
        RequestClassSettings worst = null;
        double classMargin = Double.POSITIVE_INFINITY;
        for (RequestClassSettings c : node.scenario().requestClasses()) {
            double above = node.figure(RunResult.served(c)) - PART * late.figure(RunResult.served(c));
            if (counts(c, node, late) && above < classMargin) {
                classMargin = above;
                worst = c;
            }
        }
        String fault = broken(node.rules());
        if (fault == null && node.rules().checkCount() == 0) {
            fault = "nothing was asked, so nothing was shown";
        }
        if (fault == null && served < wants) {
            fault = String.format(Locale.ROOT, "served %.3f of the worth, the gate wants %.3f", served, wants);
        }
        if (fault == null && classMargin < 0) {
            fault = String.format(
                    Locale.ROOT,
                    "class %s served %.3f of its worth, the gate wants %.3f",
                    worst.name(),
                    node.figure(RunResult.served(worst)),
                    PART * late.figure(RunResult.served(worst)));
        }
        fault = fault == null ? tenantBelow(node, late) : fault;
        return new AcceptanceResult(
                kind,
                seed,
                node.scenario().nodes().count(),
                node.loads().length,
                served,
                late.figure("service"),
                plain.figure("service"),
                wants,
                classMargin,
                node.figure("attempts_per_ask"),
                node.figure("refused_per_ask"),
                node.figure("slow_start_strain"),
                node.figure("cold_strain"),
                fault);
    }

    /** Whether a class is judged by itself: it is asked for or worth enough, and can be served. */
    private static boolean counts(RequestClassSettings c, RunResult node, RunResult late) {
        double worth = 0;
        for (RequestClassSettings other : node.scenario().requestClasses()) {
            worth += node.figure(RunResult.asked(other)) * other.priorityWeight();
        }
        double asked = node.figure(RunResult.asked(c));
        return (asked >= CLASS_ASKED || asked * c.priorityWeight() >= CLASS_ASKED * worth)
                && late.figure(RunResult.served(c)) >= CLASS_SERVED;
    }

    /** What is wrong where a tenant with enough of the worth inside shares gets too little; null where none does. */
    private static String tenantBelow(RunResult node, RunResult late) {
        for (TenantSettings t : node.scenario().tenants()) {
            if (node.scenario().tenants().size() > 1 && t.quotaShare() >= TENANT_SHARE) {
                double wants = TENANT_PART * late.figure(RunResult.served(t));
                if (node.figure(RunResult.served(t)) < wants) {
                    return String.format(
                            Locale.ROOT,
                            "tenant %s was served %.3f of its worth, the gate wants %.3f",
                            t.name(),
                            node.figure(RunResult.served(t)),
                            wants);
                }
            }
        }
        return null;
    }

    /** A day on which the node's own code threw. */
    static AcceptanceResult crashed(ScenarioKind kind, long seed, Throwable why) {
        StackTraceElement at = why.getStackTrace().length > 0 ? why.getStackTrace()[0] : null;
        return new AcceptanceResult(
                kind, seed, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, "crash: " + why + (at == null ? "" : " at " + at));
    }

    private static String broken(InvariantReport rules) {
        for (Invariant r : Invariant.values()) {
            if (rules.violations(r) > 0) {
                return "rule " + r.label() + " broken " + rules.violations(r)
                        + " times, first at "
                        + Math.round(rules.firstViolation(r).atMs()) + " ms: "
                        + rules.firstViolation(r).what();
            }
        }
        return null;
    }

    public boolean passed() {
        return fault == null;
    }

    /** How far above what the gate wants, of all or of the class that came off worst, whichever is nearer. */
    public double margin() {
        return Math.min(served - wants, classMargin);
    }

    /** The day and its seed, as on the command line. */
    public String day() {
        return kind.word() + " --seed " + seed;
    }
}

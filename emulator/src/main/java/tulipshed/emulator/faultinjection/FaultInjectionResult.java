package tulipshed.emulator.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tulipshed.emulator.invariants.Invariant;
import tulipshed.emulator.loadtest.LoadTestRun;
import tulipshed.emulator.model.RunResult;

/**
 * What came of one trial. Runs in real time differ, so it is held to invariants and to bounds, never to a figure of one
 * moment; one in which the tool itself was too slow says nothing.
 *
 * @param breaches what did not hold, a line each
 * @param voids why the run says nothing; empty where it does
 * @param served by second, of what clients wanted
 * @param breachMs where the first breach of a rule was, or a negative number
 */
public record FaultInjectionResult(
        List<String> breaches,
        List<String> voids,
        List<Double> served,
        List<String> schedule,
        RunResult outcome,
        double relaysLateMs,
        double toolLateMs,
        double breachMs) {
    private static final double RELAYS_LATE_MS = 100;
    private static final double TOOL_LATE_MS = 250;

    /**
     * What is asked beside the rules.
     *
     * @param attempts for each asking, over all nodes, at most
     * @param wholeMs after the last fault's end until as much as before is served again
     * @param whole that part of what was served before
     */
    public record Bounds(double attempts, double wholeMs, double whole) {}

    static FaultInjectionResult of(
            LinkFaultSchedule schedule, RunResult o, LoadTestRun run, double relaysLateMs, Bounds bounds) {
        List<String> breaches = new ArrayList<>();
        double breachMs = -1;
        for (Invariant r : Invariant.values()) {
            if (o.rules().violations(r) > 0) {
                double at = o.rules().firstViolation(r).atMs();
                breachMs = breachMs < 0 ? at : Math.min(breachMs, at);
                breaches.add(String.format(
                        Locale.ROOT,
                        "rule %s broken %d times, first at %.0f ms: %s",
                        r.label(),
                        o.rules().violations(r),
                        at,
                        o.rules().firstViolation(r).what()));
            }
        }
        run.crashed().forEach(n -> breaches.add("the process of node " + n + " ended by itself"));
        if (run.strangers() > 0) {
            breaches.add(run.strangers() + " first lines at members that no client had sent");
        }
        double attempts = o.figure("attempts_per_ask");
        if (attempts > bounds.attempts()) {
            breaches.add(
                    String.format(Locale.ROOT, "%.2f attempts an asking, %.2f at most", attempts, bounds.attempts()));
        }
        List<Double> served = run.servedBySecond();
        double before = mean(served, o.scenario().settleMs(), schedule.firstMs());
        double after =
                mean(served, schedule.lastMs() + bounds.wholeMs(), o.scenario().durationMs() - 1000);
        if (after < bounds.whole() * before) {
            breaches.add(String.format(
                    Locale.ROOT,
                    "not whole again %.0f s after the last fault: %.3f served, %.3f before the first",
                    bounds.wholeMs() / 1000,
                    after,
                    before));
        }
        List<String> voids = new ArrayList<>();
        if (relaysLateMs > RELAYS_LATE_MS) {
            voids.add(String.format(Locale.ROOT, "the relays were %.0f ms late", relaysLateMs));
        }
        if (run.behindMs() > TOOL_LATE_MS) {
            voids.add(String.format(Locale.ROOT, "the tool's own turn took %.0f ms", run.behindMs()));
        }
        if (Double.isNaN(before) || Double.isNaN(after)) {
            voids.add("no second before the first fault, or after all is to be whole: nothing is shown of that");
        }
        return new FaultInjectionResult(
                breaches,
                voids,
                served,
                schedule.faults().stream().map(Fault::toString).toList(),
                o,
                relaysLateMs,
                run.behindMs(),
                breachMs);
    }

    /** Over the whole seconds between two moments; NaN where there is none. */
    static double mean(List<Double> bySecond, double fromMs, double toMs) {
        int from = (int) Math.ceil(fromMs / 1000);
        int to = Math.min(bySecond.size(), (int) Math.floor(toMs / 1000));
        return from >= to
                ? Double.NaN
                : bySecond.subList(from, to).stream()
                        .mapToDouble(d -> d)
                        .filter(d -> !Double.isNaN(d))
                        .average()
                        .orElse(Double.NaN);
    }

    /** Whether all held, in a run that says something. */
    public boolean passed() {
        return breaches.isEmpty() && voids.isEmpty();
    }

    /** Whether something did not hold. A void run shows nothing good, but a breach found in it stands, and is looked at. */
    public boolean failed() {
        return !breaches.isEmpty();
    }
}

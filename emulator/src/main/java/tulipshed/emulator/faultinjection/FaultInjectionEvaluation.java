package tulipshed.emulator.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import tulipshed.emulator.invariants.Invariant;
import tulipshed.emulator.invariants.InvariantReport;
import tulipshed.emulator.loadtest.LoadTestRun;
import tulipshed.emulator.loadtest.ThreadSchedule;
import tulipshed.emulator.model.RunResult;

/** Judges one fault-injection run by the invariants, by the bounds, and by how late the tool itself was. */
final class FaultInjectionEvaluation {
    /** Lateness of the proxy and of the tool from which on a run is void. */
    private static final double MAX_PROXY_LATENESS_MS = 100;

    private static final double MAX_TOOL_LATENESS_MS = 250;

    /** The longest time in a second that a node may have waited for a processor where its breach counts as its own. */
    private static final double MAX_PROCESSOR_WAIT_MS = 40;

    /** The last second of a run is not judged: its connections may still be starting. */
    private static final double UNJUDGED_END_MS = 1000;

    private static final double MILLIS_PER_SECOND = 1000;

    private final LinkFaultSchedule schedule;
    private final RunResult outcome;
    private final LoadTestRun run;
    private final double proxyLatenessMs;
    private final FaultInjectionResult.Bounds bounds;
    private final List<String> breaches = new ArrayList<>();
    private final List<String> voids = new ArrayList<>();
    private double firstBreachMs = -1;

    private FaultInjectionEvaluation(
            LinkFaultSchedule schedule,
            RunResult outcome,
            LoadTestRun run,
            double proxyLatenessMs,
            FaultInjectionResult.Bounds bounds) {
        this.schedule = schedule;
        this.outcome = outcome;
        this.run = run;
        this.proxyLatenessMs = proxyLatenessMs;
        this.bounds = bounds;
    }

    /** Judges a run that has ended. */
    static FaultInjectionResult evaluate(
            LinkFaultSchedule schedule,
            RunResult outcome,
            LoadTestRun run,
            double proxyLatenessMs,
            FaultInjectionResult.Bounds bounds) {
        return new FaultInjectionEvaluation(schedule, outcome, run, proxyLatenessMs, bounds).evaluate();
    }

    private FaultInjectionResult evaluate() {
        checkInvariants();
        checkProcesses();
        checkAttempts();
        List<Double> served = run.servedBySecond();
        checkRecovery(served);
        return new FaultInjectionResult(
                breaches,
                voids,
                served,
                schedule.faults().stream().map(Fault::toString).toList(),
                outcome,
                proxyLatenessMs,
                run.behindMs(),
                firstBreachMs);
    }

    private void checkInvariants() {
        InvariantReport report = outcome.rules();
        for (Invariant invariant : Invariant.values()) {
            if (report.violations(invariant) > 0) {
                double atMs = report.firstViolation(invariant).atMs();
                firstBreachMs = firstBreachMs < 0 ? atMs : Math.min(firstBreachMs, atMs);
                breaches.add(String.format(
                        Locale.ROOT,
                        "rule %s broken %d times, first at %.0f ms: %s%s",
                        invariant.label(),
                        report.violations(invariant),
                        atMs,
                        report.firstViolation(invariant).what(),
                        invariant == Invariant.SLOW_START_LIMIT
                                ? ""
                                : scheduleBefore(
                                        report.firstViolation(invariant).where(), atMs)));
            }
        }
    }

    /** Tells a machine without a free processor from a slow program; the run is void too where it was the machine. */
    private String scheduleBefore(int node, double atMs) {
        Optional<ThreadSchedule.Share> share = run.scheduleOf(node, atMs - MILLIS_PER_SECOND, atMs);
        share.filter(schedule -> schedule.waitedMs() > MAX_PROCESSOR_WAIT_MS)
                .ifPresent(schedule -> voids.add(String.format(
                        Locale.ROOT,
                        "node %d waited %.0f ms for a processor in the second before %.0f ms",
                        node,
                        schedule.waitedMs(),
                        atMs)));
        return share.map(schedule -> String.format(
                        Locale.ROOT,
                        "; in the second before, its I/O thread ran %.0f ms and waited %.0f ms for a processor",
                        schedule.ranMs(),
                        schedule.waitedMs()))
                .orElse("");
    }

    private void checkProcesses() {
        run.crashed().forEach(node -> breaches.add("the process of node " + node + " ended by itself"));
        if (run.lostAtShutdown() > 0) {
            breaches.add(run.lostAtShutdown() + " connections lost in a shutdown, cut off or held until the kill");
        }
        run.unknownFirstLines()
                .first()
                .ifPresent(line -> breaches.add(run.unknownFirstLines().count()
                        + " first lines at members that no client had sent, the first: " + line));
    }

    private void checkAttempts() {
        double attempts = outcome.figure("attempts_per_ask");
        if (attempts > bounds.attempts()) {
            breaches.add(
                    String.format(Locale.ROOT, "%.2f attempts an asking, %.2f at most", attempts, bounds.attempts()));
        }
    }

    /** Compares what was served before the first fault with what is served after recovery; checks that both exist. */
    private void checkRecovery(List<Double> served) {
        double before = mean(served, outcome.scenario().settleMs(), schedule.firstMs());
        double after = mean(
                served, schedule.lastMs() + bounds.wholeMs(), outcome.scenario().durationMs() - UNJUDGED_END_MS);
        if (after < bounds.whole() * before) {
            breaches.add(String.format(
                    Locale.ROOT,
                    "not whole again %.0f s after the last fault: %.3f served, %.3f before the first",
                    bounds.wholeMs() / MILLIS_PER_SECOND,
                    after,
                    before));
        }
        checkLateness();
        if (Double.isNaN(before) || Double.isNaN(after)) {
            voids.add("no second before the first fault, or after all is to be whole: nothing is shown of that");
        }
    }

    private void checkLateness() {
        if (proxyLatenessMs > MAX_PROXY_LATENESS_MS) {
            voids.add(String.format(Locale.ROOT, "the relays were %.0f ms late", proxyLatenessMs));
        }
        if (run.behindMs() > MAX_TOOL_LATENESS_MS) {
            voids.add(String.format(Locale.ROOT, "the tool's own turn took %.0f ms", run.behindMs()));
        }
    }

    /** The mean over the whole seconds between two moments, without those that are NaN; NaN where there is none. */
    static double mean(List<Double> bySecond, double fromMs, double toMs) {
        int from = (int) Math.ceil(fromMs / MILLIS_PER_SECOND);
        int to = Math.min(bySecond.size(), (int) Math.floor(toMs / MILLIS_PER_SECOND));
        return from >= to
                ? Double.NaN
                : bySecond.subList(from, to).stream()
                        .mapToDouble(value -> value)
                        .filter(value -> !Double.isNaN(value))
                        .average()
                        .orElse(Double.NaN);
    }
}

package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import tulipshed.emulator.invariants.Invariant;
import tulipshed.emulator.invariants.InvariantReport;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.TenantSettings;

/**
 * What came of one day. Service is the time for which clients' connections stood with their messages in time, as a part
 * of the time for which clients wanted them, both weighed by the worth of their class.
 */
public record RunResult(
        Scenario scenario,
        long seed,
        Map<String, Double> figures,
        Map<String, long[]> seconds,
        float[][] loads,
        Histogram setupUs,
        Histogram waitUs,
        long[] queue,
        InvariantReport rules,
        long messages,
        long trace,
        double tookS) {

    static RunResult of(World w, double tookS) {
        Counters t = Counters.sum(w);
        Map<String, Double> f = new LinkedHashMap<>();
        List<RequestClassSettings> classes = w.scenario.requestClasses();
        double wanted = 0;
        double good = 0;
        double worst = 1;
        for (int c = 0; c < classes.size(); c++) {
            double worth = classes.get(c).priorityWeight();
            wanted += worth * t.wantedUs[c];
            good += worth * t.goodUs[c];
            worst = Math.min(worst, part(t.goodUs[c], t.wantedUs[c]));
            f.put(served(classes.get(c)), part(t.goodUs[c], t.wantedUs[c]));
            f.put(asked(classes.get(c)), t.asked[c] / Math.max(1.0, sum(t.asked)));
        }
        f.put("service", part(good, wanted));
        f.put("worst_class", worst);
        double worstTenant = 1;
        for (int i = 0; i < t.tenantWantedUs.length; i++) {
            worstTenant = Math.min(worstTenant, part(t.tenantGoodUs[i], t.tenantWantedUs[i]));
        }
        f.put("worst_tenant", worstTenant);
        f.put("worst_ten_seconds", worstTen(t));
        double all = Math.max(1, sum(t.asked));
        f.put("asked", (double) sum(t.asked));
        f.put("in_aim", sum(t.inAim) / all);
        f.put("late", sum(t.late) / all);
        f.put("lost", sum(t.lost) / all);
        f.put("left", (double) t.left);
        f.put("messages_late", 1 - part(sum(t.goodUs), t.standingUs));
        f.put("attempts_per_ask", sum(t.attempts) / Math.max(1.0, sum(t.came)));
        f.put("refused_per_ask", sum(t.refused) / Math.max(1.0, sum(t.came)));
        f.put("failed_per_ask", sum(t.failed) / Math.max(1.0, sum(t.came)));
        f.put("resets", (double) sum(t.resets));
        f.put("moves", (double) sum(t.moves));
        long establishedMs = t.standingUs / 1000; // whole milliseconds
        f.put("standing_mean", establishedMs / (w.scenario.durationMs() - w.scenario.settleMs()));
        f.put("cold_fell", (double) t.felt);
        f.put("cold_strain", t.coldStrain / 1000.0);
        f.put("slow_start_strain", t.slowStartStrain / 1000.0);
        f.put("load_spread", spread(w));
        f.put("list_calls", (double) w.discovery.calls);
        f.put("list_calls_failed", (double) w.discovery.failedCalls);
        putBroken(f, t.rules);
        f.put("setup_p50_ms", t.setupUs.getValueAtPercentile(50) / 1000.0);
        f.put("setup_p99_ms", t.setupUs.getValueAtPercentile(99) / 1000.0);
        for (int i = 0; i < t.tenantWantedUs.length && t.tenantWantedUs.length > 1; i++) {
            f.put(served(w.scenario.tenants().get(i)), part(t.tenantGoodUs[i], t.tenantWantedUs[i]));
        }
        Map<String, long[]> s = new LinkedHashMap<>();
        s.put("wanted", t.secondWanted);
        s.put("good", t.secondGood);
        s.put("came", t.came);
        s.put("attempts", t.attempts);
        s.put("refused", t.refused);
        s.put("failed", t.failed);
        s.put("resets", t.resets);
        s.put("moves", t.moves);
        float[][] loads = new float[w.members.length][];
        for (int m = 0; m < loads.length; m++) {
            loads[m] = w.members[m].loadBySecond.clone();
        }
        return new RunResult(
                w.scenario,
                w.seed,
                f,
                s,
                loads,
                t.setupUs,
                t.waitUs,
                t.queue,
                t.rules,
                w.engine().handled(),
                w.engine().trace(),
                tookS);
    }

    /** Name of the figure that tells how much of a class's worth was served, of 1. */
    public static String served(RequestClassSettings c) {
        return "class_" + c.name();
    }

    /** Name of the figure that tells how much of a tenant's worth was served, of 1; there where tenants are several. */
    public static String served(TenantSettings t) {
        return "tenant_" + t.name();
    }

    /** Name of the figure that tells a class's part of all that was asked for, of 1. */
    public static String asked(RequestClassSettings c) {
        return "asked_" + c.name();
    }

    private static double part(double good, double wanted) {
        return wanted <= 0 ? 1 : good / wanted;
    }

    private static long sum(long[] of) {
        return Arrays.stream(of).sum();
    }

    private static double worstTen(Counters t) {
        double worst = 1;
        for (int from = 0; from + 10 <= t.seconds; from++) {
            long asked = 0;
            long good = 0;
            for (int s = from; s < from + 10; s++) {
                asked += t.secondWanted[s];
                good += t.secondGood[s];
            }
            if (asked > 0) {
                worst = Math.min(worst, part(good, asked));
            }
        }
        return worst;
    }

    /** Standard deviation of members' loads over their mean, averaged over the seconds. */
    private static double spread(World w) {
        double sum = 0;
        int counted = 0;
        int seconds = (int) (w.scenario.durationMs() / 1000);
        for (int s = 0; s < seconds; s++) {
            List<Float> now = new ArrayList<>();
            for (EmulatedEndpoint m : w.members) {
                if (m.loadBySecond[s] >= 0) {
                    now.add(m.loadBySecond[s]);
                }
            }
            double mean = now.stream().mapToDouble(x -> x).average().orElse(0);
            if (mean > 0) {
                double square = now.stream()
                        .mapToDouble(x -> (x - mean) * (x - mean))
                        .average()
                        .orElse(0);
                sum += Math.sqrt(square) / mean;
                counted++;
            }
        }
        return counted == 0 ? 0 : sum / counted;
    }

    private static void putBroken(Map<String, Double> figures, InvariantReport rules) {
        for (Invariant r : Invariant.values()) {
            figures.put("broken_" + r.label().replace('-', '_'), (double) rules.violations(r));
        }
    }

    /** The same with what the rules found in the end. */
    RunResult with(InvariantReport inTheEnd) {
        Map<String, Double> all = new LinkedHashMap<>(figures);
        putBroken(all, inTheEnd);
        return new RunResult(
                scenario, seed, all, seconds, loads, setupUs, waitUs, queue, inTheEnd, messages, trace, tookS);
    }

    /** The same under another name of who decided. */
    public RunResult as(String policy) {
        Scenario s = scenario;
        return new RunResult(
                new Scenario(
                        s.name(),
                        s.durationMs(),
                        s.settleMs(),
                        policy,
                        s.network(),
                        s.nodes(),
                        s.endpointTypes(),
                        s.endpointModel(),
                        s.discovery(),
                        s.requestClasses(),
                        s.tenants(),
                        s.clients(),
                        s.faults()),
                seed,
                figures,
                seconds,
                loads,
                setupUs,
                waitUs,
                queue,
                rules,
                messages,
                trace,
                tookS);
    }

    /** The value of a figure by its name. */
    public double figure(String name) {
        return figures.get(name);
    }
}

package tulipshed.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.DeduplicationScope;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.LoadReportSource;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;
import tulipshed.decision.api.Prices;
import tulipshed.decision.api.ProtocolRules;
import tulipshed.decision.api.RequestClass;
import tulipshed.decision.api.SiteLimits;
import tulipshed.decision.api.Tenant;
import tulipshed.decision.api.WeightSemantics;

/** What an event costs the decision module by the number of endpoints; no cost may grow with it. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx64m"}) // as a deployment
public class DecisionBenchmark {
    private static final long SECOND_US = 1_000_000;
    private static final long STEP_US = 10_000; // between events
    private static final int CONNECTIONS = 200; // established all the while
    private static final int GROUPS = 20;
    private static final int MACHINE_TYPES = 2;
    private static final int ZONES = 4;

    /** How many endpoints the list names. */
    @Param({"10", "200", "3200"})
    public int endpoints;

    /** Whether requests have connection groups. */
    @Param({"false", "true"})
    public boolean groups;

    private Balancer balancer;
    private long now;
    private long lastId;
    private int changed;

    /** Runs all of it; a further argument is a pattern of what to run. */
    public static void main(String[] args) throws RunnerException {
        OptionsBuilder options = new OptionsBuilder();
        options.include(args.length > 0 ? args[0] : DecisionBenchmark.class.getSimpleName());
        options.addProfiler(GCProfiler.class);
        new Runner(options.build()).run();
    }

    /** Lists the endpoints and establishes the connections that stay. */
    @Setup
    public void establish() {
        balancer = new Balancer(settings(), 1, 0, new IgnoringActions());
        List<EndpointInfo> list = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            list.add(endpoint(i, EndpointStatus.SERVING));
        }
        balancer.endpointsChanged(0, EndpointListKind.COMPLETE, list);
        for (int i = 0; i < CONNECTIONS; i++) {
            arriveAndEstablish();
        }
    }

    private BalancerSettings settings() {
        return new BalancerSettings(
                0,
                4,
                "zone0",
                false,
                false,
                groups,
                WeightSemantics.SIZE,
                LoadReportSource.NONE,
                new SiteLimits(6, 2 * SECOND_US, true, false, false, true, 250_000, 15 * SECOND_US, 1),
                new ProtocolRules(300_000, 10 * SECOND_US, 0.2, 15 * SECOND_US, 3, 3 * SECOND_US / 2),
                new Prices(0.03, 0, 0, 0.03, 0.19),
                List.of(new RequestClass(
                        "class0",
                        SECOND_US / 2,
                        2 * SECOND_US,
                        1,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        5 * SECOND_US,
                        100_000)),
                List.of(new Tenant("tenant0", 1, 1e6, 4 * CONNECTIONS)));
    }

    private static EndpointInfo endpoint(int i, EndpointStatus status) {
        return new EndpointInfo("server" + i, status, "zone" + i % ZONES, 0, "kind" + i % MACHINE_TYPES, 1, 0);
    }

    private long arriveAndEstablish() {
        now += STEP_US;
        long id = ++lastId;
        String group = groups ? "group" + id % GROUPS : null;
        balancer.requestArrived(now, new NewRequest(id, 0, 0, null, group, 2 * SECOND_US, 0, false, false, false));
        balancer.attemptEstablished(now, id, 0, 10_000);
        return id;
    }

    /** A request, from its arrival to the end of its connection. */
    @Benchmark
    public void request() {
        long id = arriveAndEstablish();
        balancer.attemptEnded(now, id, 0, true, Outcome.OK, LoadReport.NONE);
    }

    /** An endpoint starts to drain and serves again, as two changes of the list. */
    @Benchmark
    public void listChange() {
        now += STEP_US;
        changed = (changed + 1) % endpoints;
        change(EndpointStatus.DRAINING);
        change(EndpointStatus.SERVING);
    }

    /** Two changes of the list, and a request. */
    @Benchmark
    public void listChangeAndRequest() {
        listChange();
        request();
    }

    private void change(EndpointStatus status) {
        balancer.endpointsChanged(now, EndpointListKind.CHANGES, List.of(endpoint(changed, status)));
    }

    /** What the management server asks for its metrics. */
    @Benchmark
    public int ineligibleCount() {
        return balancer.ineligibleCount(now);
    }

    /** What each evaluation of a route asks. */
    @Benchmark
    public int eligibleCount() {
        return balancer.eligibleCount(now, null);
    }

    /** Carries out no decision. */
    private static final class IgnoringActions implements BalancerActions {
        @Override
        public void startAttempt(long requestId, String endpointId, long timeoutUs) {}

        @Override
        public void cancelAttempt(long requestId, int attempt) {}

        @Override
        public void reject(long requestId, long retryAfterUs) {}

        @Override
        public void fail(long requestId) {}

        @Override
        public void migrate(long requestId) {}

        @Override
        public void scheduleTimer(long afterUs, long token) {}

        @Override
        public void startHealthCheck(String endpointId) {}

        @Override
        public void sendToPeer(int peer, byte[] body) {}

        @Override
        public void watchEndpoints() {}

        @Override
        public void log(String message) {}
    }
}

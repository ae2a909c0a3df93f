package tulipshed.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.time.ManualClock;

/**
 * A core with a clock and an event loop that the test controls. The fixture is also the client and the connector of all
 * requests. The test makes the decisions of the decision module. The events delivered to the decision module, the actions of
 * the core and its log lines are recorded in order.
 */
final class ProxyCoreFixture implements EventLoop, ClientConnection, UpstreamConnector {
    final ManualClock clock = new ManualClock(1_000_000);
    /** The events delivered to the decision module, the actions of the core and its log lines, in order. */
    final List<String> recorded = new ArrayList<>();
    /** The attempts that the core opened, in order. */
    final List<Attempt> attempts = new ArrayList<>();
    /** Accepts decisions, which are carried out at the end of the next batch. */
    BalancerActions decisions;
    /** The decision module, which records the events of the core. */
    final RecordingBalancer balancer = new RecordingBalancer(recorded);
    /** Whether this fixture, as connector, requires attempts to leave a draining endpoint. */
    boolean mustLeaveDraining;

    final BalancerSettings settings;
    final ProxyCore core;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final List<Timer> timers = new ArrayList<>();

    private record Timer(double atMs, Runnable task) {}

    /** Creates a core with the settings of {@code node.json}, with the serving endpoint s-1 from a cached list. */
    ProxyCoreFixture() {
        this("", "");
    }

    /** Creates the same with every occurrence of {@code replaced} in the settings replaced. */
    ProxyCoreFixture(String replaced, String replacement) {
        settings = NodeJsonSettings.load(replaced, replacement).settings();
        core = new ProxyCore(
                clock,
                Limits.forDescriptors(1024),
                settings,
                1,
                this,
                NodeLog.to(recorded::add),
                (initial, seed, nowUs, actions) -> {
                    decisions = actions;
                    return balancer;
                });
        updateEndpoint(EndpointListKind.CACHED, "s-1", EndpointStatus.SERVING);
        takeRecorded();
    }

    /** Creates a core whose requests are not idempotent. */
    static ProxyCoreFixture nonIdempotent() {
        return new ProxyCoreFixture("\"Effect\": \"repeatable\"", "\"Effect\": \"once\"");
    }

    /** Creates a core whose requests have an idempotency key, by which endpoints of the same zone deduplicate them. */
    static ProxyCoreFixture withKeyPerZone() {
        return new ProxyCoreFixture(
                "\"Effect\": \"repeatable\",\n    \"Group\": \"all\"",
                "\"Effect\": \"by_key\",\n    \"Group\": \"zone\"");
    }

    /** Reports a change of one endpoint, as discovery does. */
    void updateEndpoint(String id, EndpointStatus status) {
        updateEndpoint(EndpointListKind.CHANGES, id, status);
    }

    private void updateEndpoint(EndpointListKind kind, String id, EndpointStatus status) {
        core.endpointsChanged(
                kind,
                List.of(new EndpointListEntry(
                        new EndpointInfo(id, status, "decin", 0, "std-2c", 1, 0),
                        new InetSocketAddress("127.0.0.1", 1))));
    }

    /** Reports the arrival of a request with that timeout. */
    Request requestArrives(double timeoutMs) {
        Request request = newRequest(timeoutMs, false);
        core.requestArrived(request);
        return request;
    }

    /** Resumes a connection that was established at that endpoint before the start. */
    Request adoptConnection(String endpointId) {
        Request request = newRequest(2000, true);
        core.adoptConnection(request, endpointId);
        return request;
    }

    /** A request of this fixture's client that has not been reported to the core. */
    Request newRequest(double timeoutMs, boolean adopted) {
        return new Request(
                this, this, new RequestParameters(0, 0, "k", null, timeoutMs, 0, false, false), clock.nowMs(), adopted);
    }

    /** Reports a request, opens an attempt at s-1 for it and clears the recorded lines. */
    Attempt startAttempt(double timeoutMs) {
        requestArrives(timeoutMs);
        runReadyTasks();
        decisions.startAttempt(balancer.lastRequestId, "s-1", 0);
        core.runBatch();
        runReadyTasks();
        takeRecorded();
        return attempts.get(attempts.size() - 1);
    }

    /** The counts of established, rejected and failed requests of a class. */
    String responseCounts(String requestClass) {
        NodeMetrics.ResponseCounts counts = core.metrics().responses().get(requestClass);
        return counts.established() + " " + counts.rejected() + " " + counts.failed();
    }

    /** Runs ready tasks, and advances the clock step by step, running the timers that expire. */
    void advance(double durationMs) {
        double endMs = clock.nowMs() + durationMs;
        runReadyTasks();
        while (clock.nowMs() < endMs) {
            clock.advance(Math.min(1, endMs - clock.nowMs()));
            List<Timer> expired =
                    timers.stream().filter(timer -> timer.atMs <= clock.nowMs()).toList();
            timers.removeAll(expired);
            expired.forEach(timer -> timer.task.run());
            runReadyTasks();
        }
    }

    /** Runs the tasks of the event loop until none is ready. */
    void runReadyTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    /** Runs ready tasks; returns the lines recorded since the last call. */
    List<String> takeRecorded() {
        runReadyTasks();
        List<String> taken = List.copyOf(recorded);
        recorded.clear();
        return taken;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    @Override
    public void schedule(double delayMs, Runnable task) {
        timers.add(new Timer(clock.nowMs() + delayMs, task));
    }

    @Override
    public void reject(double retryAfterMs) {
        recorded.add("client: reject " + retryAfterMs);
    }

    @Override
    public void fail() {
        recorded.add("client: fail");
    }

    @Override
    public void migrate() {
        recorded.add("client: migrate");
    }

    @Override
    public void open(Attempt attempt) {
        attempts.add(attempt);
        recorded.add("open " + attempt.endpoint().id());
    }

    @Override
    public void abandon(Attempt attempt) {
        recorded.add("abandon");
    }

    @Override
    public boolean mustLeaveDrainingEndpoint() {
        return mustLeaveDraining;
    }
}

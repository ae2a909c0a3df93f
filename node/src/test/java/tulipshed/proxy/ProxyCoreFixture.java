package tulipshed.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.config.NodeConfig;
import tulipshed.decision.BalancerApi;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.LoadReport;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.logging.NodeLog;
import tulipshed.time.ManualClock;

/** The core on a clock and a loop that tests drive, with a module that does what tests say and notes what it hears. */
final class ProxyCoreFixture implements EventLoop, ClientConnection, UpstreamConnector, BalancerApi {
    final ManualClock clock = new ManualClock(1_000_000);
    final List<String> heard = new ArrayList<>();
    final List<Attempt> flows = new ArrayList<>();
    boolean leavesDraining;
    Actions module;
    final ProxyCore core;
    final Settings settings;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final List<Timer> timers = new ArrayList<>();

    private record Timer(double atMs, Runnable task) {}

    ProxyCoreFixture() {
        this("", "");
    }

    /** With other settings in place of some, everywhere. */
    ProxyCoreFixture(String some, String others) {
        NodeConfig config = config(some, others);
        settings = config.settings();
        core = new ProxyCore(
                clock,
                tulipshed.limits.Limits.forDescriptors(1024),
                config.settings(),
                1,
                this,
                NodeLog.to(heard::add),
                (settings, seed, now, actions) -> {
                    module = actions;
                    return this;
                });
        tell(EndpointListKind.CACHED, "s-1", EndpointStatus.SERVING);
        take();
    }

    private static NodeConfig config(String some, String others) {
        try {
            Path file = Files.createTempFile("node", ".json");
            Files.writeString(
                    file,
                    Files.readString(Path.of("src/test/resources/node.json")).replace(some, others));
            NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", file.toString()));
            Files.delete(file);
            return config;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void tell(String id, EndpointStatus state) {
        tell(EndpointListKind.CHANGES, id, state);
    }

    private void tell(EndpointListKind kind, String id, EndpointStatus state) {
        core.endpointsChanged(
                kind,
                List.of(new EndpointListEntry(
                        new EndpointInfo(id, state, "decin", 0, "std-2c", 1, 0),
                        new InetSocketAddress("127.0.0.1", 1))));
    }

    Request arrive(double waitMs) {
        Request request = transaction(waitMs, false);
        core.requestArrived(request);
        return request;
    }

    /** A connection that stood at that member before. */
    Request arriveAt(String member) {
        Request request = transaction(2000, true);
        core.adoptConnection(request, member);
        return request;
    }

    private Request transaction(double waitMs, boolean stoodBefore) {
        return new Request(
                this,
                this,
                new Request.Attributes(0, 0, "k", null, waitMs, 0, false, false),
                clock.nowMs(),
                stoodBefore);
    }

    /** An arrival that the module sends to s-1 at once. */
    Attempt sent(double waitMs) {
        arrive(waitMs);
        run();
        module.startAttempt(lastRequest, "s-1", 0);
        core.runBatch();
        run();
        take();
        return flows.get(flows.size() - 1);
    }

    final Map<String, Integer> inFavour = new java.util.HashMap<>();
    long lastRequest;

    /** Runs what is ready, and moves the clock on step by step, running what falls due. */
    void pass(double ms) {
        double endMs = clock.nowMs() + ms;
        run();
        while (clock.nowMs() < endMs) {
            clock.advance(Math.min(1, endMs - clock.nowMs()));
            List<Timer> due =
                    timers.stream().filter(t -> t.atMs <= clock.nowMs()).toList();
            timers.removeAll(due);
            due.forEach(t -> t.task.run());
            run();
        }
    }

    void run() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    List<String> take() {
        run();
        List<String> taken = List.copyOf(heard);
        heard.clear();
        return taken;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    @Override
    public void schedule(double ms, Runnable task) {
        timers.add(new Timer(clock.nowMs() + ms, task));
    }

    @Override
    public void reject(double retryAfterMs) {
        heard.add("client: reject " + retryAfterMs);
    }

    @Override
    public void fail() {
        heard.add("client: fail");
    }

    @Override
    public void migrate() {
        heard.add("client: move");
    }

    @Override
    public void open(Attempt attempt) {
        flows.add(attempt);
        heard.add("open " + attempt.endpoint().id());
    }

    @Override
    public void abandon(Attempt attempt) {
        heard.add("give up");
    }

    @Override
    public boolean mustLeaveDrainingEndpoint() {
        return leavesDraining;
    }

    @Override
    public void endpointsChanged(long now, EndpointListKind kind, List<EndpointInfo> entries) {
        heard.add("list " + kind);
    }

    @Override
    public void requestArrived(long now, NewRequest request) {
        lastRequest = request.id();
        heard.add("request " + request.timeoutUs() / 1000 + (request.pool() == null ? "" : " in " + request.pool())
                + (request.requestClass() == 0 ? "" : " as " + request.requestClass()));
    }

    @Override
    public void connectionAdopted(long now, NewRequest request, String server) {
        lastRequest = request.id();
        heard.add("already open " + server);
    }

    @Override
    public void attemptEstablished(long now, long requestId, int attempt, long tookUs) {
        heard.add("started " + attempt);
    }

    @Override
    public void loadReported(long now, long requestId, double loadUsPerS) {
        heard.add("load " + loadUsPerS);
    }

    @Override
    public void latencyReported(long now, long requestId, double delayMs) {
        heard.add("delay " + delayMs);
    }

    @Override
    public void attemptEnded(
            long now, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
        heard.add("finished " + attempt + " " + outcome + (concluded ? " concluded" : ""));
    }

    @Override
    public void requestCancelled(long now, long requestId) {
        heard.add("abandoned");
    }

    @Override
    public void healthCheckCompleted(long now, String server, Outcome outcome, LoadReport report) {}

    @Override
    public void timerFired(long now, long token) {
        heard.add("timer " + token);
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {}

    @Override
    public int ineligibleCount(long now) {
        return 1;
    }

    @Override
    public void quotaShareChanged(long now, double ofBalancer) {
        heard.add("share " + ofBalancer);
    }

    @Override
    public void reconfigure(long now, Settings settings) {
        heard.add("settings " + settings.classes().size());
    }

    @Override
    public void poolsChanged(long now, Map<String, Set<String>> members) {
        heard.add("pools " + new java.util.TreeMap<>(members));
    }

    @Override
    public void requestRerouted(long now, long requestId, String pool) {
        heard.add("route " + requestId + " " + pool);
    }

    @Override
    public int eligibleCount(long now, String pool) {
        return inFavour.getOrDefault(pool, 0);
    }
}

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
import tulipshed.decision.BalancerApi.ListKind;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.Report;
import tulipshed.decision.BalancerApi.ServerEntry;
import tulipshed.decision.BalancerApi.ServerState;
import tulipshed.time.ManualClock;

/** The core on a clock and a loop that tests drive, with a module that does what tests say and notes what it hears. */
final class CoreBench implements Loop, VirtualServer, MemberConnector, BalancerApi {
    final ManualClock clock = new ManualClock(1_000_000);
    final List<String> heard = new ArrayList<>();
    final List<ServerSideFlow> flows = new ArrayList<>();
    boolean leavesDraining;
    Actions module;
    final TransactionCore core;
    final Settings settings;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final List<Timer> timers = new ArrayList<>();

    private record Timer(double atMs, Runnable task) {}

    CoreBench() {
        this("", "");
    }

    /** With other settings in place of some, everywhere. */
    CoreBench(String some, String others) {
        NodeConfig config = config(some, others);
        settings = config.settings();
        core = new TransactionCore(
                clock,
                tulipshed.limits.Limits.forDescriptors(1024),
                config.settings(),
                1,
                this,
                heard::add,
                (settings, seed, now, actions) -> {
                    module = actions;
                    return this;
                });
        tell(ListKind.REMEMBERED, "s-1", ServerState.SERVING);
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

    void tell(String id, ServerState state) {
        tell(ListKind.CHANGES, id, state);
    }

    private void tell(ListKind kind, String id, ServerState state) {
        core.members(
                kind,
                List.of(new ListedMember(
                        new ServerEntry(id, state, "decin", 0, "std-2c", 1, 0),
                        new InetSocketAddress("127.0.0.1", 1))));
    }

    Transaction arrive(double waitMs) {
        Transaction t = transaction(waitMs, false);
        core.arrived(t);
        return t;
    }

    /** A connection that stood at that member before. */
    Transaction arriveAt(String member) {
        Transaction t = transaction(2000, true);
        core.alreadyOpen(t, member);
        return t;
    }

    private Transaction transaction(double waitMs, boolean stoodBefore) {
        return new Transaction(
                this,
                this,
                new Transaction.Arrival(0, 0, "k", null, waitMs, 0, false, false),
                clock.nowMs(),
                stoodBefore);
    }

    /** An arrival that the module sends to s-1 at once. */
    ServerSideFlow sent(double waitMs) {
        arrive(waitMs);
        run();
        module.send(lastRequest, "s-1", 0);
        core.turn();
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
    public void afterGathering(Runnable task) {
        tasks.add(task);
    }

    @Override
    public void after(double ms, Runnable task) {
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
    public void move() {
        heard.add("client: move");
    }

    @Override
    public void open(ServerSideFlow flow) {
        flows.add(flow);
        heard.add("open " + flow.member().id());
    }

    @Override
    public void giveUp(ServerSideFlow flow) {
        heard.add("give up");
    }

    @Override
    public boolean leavesDraining() {
        return leavesDraining;
    }

    @Override
    public void servers(long now, ListKind kind, List<ServerEntry> entries) {
        heard.add("list " + kind);
    }

    @Override
    public void request(long now, NewRequest request) {
        lastRequest = request.id();
        heard.add("request " + request.graceUs() / 1000 + (request.pool() == null ? "" : " in " + request.pool())
                + (request.requestClass() == 0 ? "" : " as " + request.requestClass()));
    }

    @Override
    public void alreadyOpen(long now, NewRequest request, String server) {
        lastRequest = request.id();
        heard.add("already open " + server);
    }

    @Override
    public void started(long now, long request, int attempt, long tookUs) {
        heard.add("started " + attempt);
    }

    @Override
    public void loadNote(long now, long request, double loadUsPerS) {
        heard.add("load " + loadUsPerS);
    }

    @Override
    public void delayNote(long now, long request, double delayMs) {
        heard.add("delay " + delayMs);
    }

    @Override
    public void finished(long now, long request, int attempt, boolean concluded, Outcome outcome, Report report) {
        heard.add("finished " + attempt + " " + outcome + (concluded ? " concluded" : ""));
    }

    @Override
    public void abandoned(long now, long request) {
        heard.add("abandoned");
    }

    @Override
    public void probed(long now, String server, Outcome outcome, Report report) {}

    @Override
    public void timer(long now, long token) {
        heard.add("timer " + token);
    }

    @Override
    public void peerMessage(long now, int from, byte[] body) {}

    @Override
    public int avoided(long now) {
        return 1;
    }

    @Override
    public void share(long now, double ofBalancer) {
        heard.add("share " + ofBalancer);
    }

    @Override
    public void reconfigure(long now, Settings settings) {
        heard.add("settings " + settings.classes().size());
    }

    @Override
    public void pools(long now, Map<String, Set<String>> members) {
        heard.add("pools " + new java.util.TreeMap<>(members));
    }

    @Override
    public void route(long now, long request, String pool) {
        heard.add("route " + request + " " + pool);
    }

    @Override
    public int inFavour(long now, String pool) {
        return inFavour.getOrDefault(pool, 0);
    }
}

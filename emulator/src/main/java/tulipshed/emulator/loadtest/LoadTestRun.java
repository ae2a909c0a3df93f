package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.demo.StubDiscovery;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.model.World;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EndpointListing;
import tulipshed.emulator.scenario.FaultKinds;
import tulipshed.emulator.scenario.FaultSettings;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.time.SystemWallClock;

/**
 * A scenario with real nodes: each a process, with the world's clients, members and discovery on loopback sockets. The
 * world's clock is the machine's. Clients come when the scenario says, however slow answers are, and their waits count from
 * the moment at which they wanted to ask, so that a stalled node cannot hide its stall.
 */
public final class LoadTestRun implements AutoCloseable {
    /** Where in a try's number its node's stands. */
    static final int TRIES = 40;

    private static final int MOST_NODES = 16;
    private static final int MOST_MEMBERS = 3200;
    /** Over links each node has a listener of its own for each member. */
    private static final int MOST_LINKED_MEMBERS = 500;

    private static final int MOST_CLIENTS = 5000;
    private static final double LONGEST_MS = 600_000;
    private static final double START_MS = 30_000;

    private final Selector selector = Selector.open();
    private final Path folder = Files.createTempDirectory("tulipshed-load");
    /** One for each node, so that it is known what each has been told. */
    private final List<StubDiscovery> discoveries = new ArrayList<>();

    private final Queue<Told> told = new ConcurrentLinkedQueue<>();
    private final List<SocketEndpoint> members = new ArrayList<>();
    /** By node: where it reaches each member. */
    private final List<List<InetSocketAddress>> addresses = new ArrayList<>();

    private final NetworkPaths ways;
    private final Queue<Heard> heard = new ConcurrentLinkedQueue<>();
    private final Map<Object, ClientRequest> carried = new HashMap<>();
    private final Set<String> left = new HashSet<>();
    private final List<Double> served = new ArrayList<>();
    private final List<NodeProcess> processes = new ArrayList<>();
    private final List<SocketNode> nodes = new ArrayList<>();
    private final Map<String, ClientRequest> tries = new HashMap<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<Integer, Double> started = new HashMap<>();
    private final World world;
    private volatile long beganNs;
    private double latestMs;
    private double behindMs;
    private boolean dayIsOver;
    private long strangers;
    private long accepted;

    private record Told(int node, double atMs, Map<String, String> states) {}

    /** What the node's end of a link to a member shows: a first line, or an end where that is null. */
    private record Heard(double atMs, int member, Object connection, String line) {}

    /** Sets everything up but the nodes, which reach members and discovery straight. */
    public LoadTestRun(Scenario s, long seed, Path jar) throws IOException {
        this(s, seed, jar, null);
    }

    /**
     * Sets everything up but the nodes.
     *
     * @param ways of nodes to members and discovery; null for straight ones
     * @throws IllegalArgumentException where the scenario is larger than one machine's sockets are good for
     */
    public LoadTestRun(Scenario s, long seed, Path jar, NetworkPaths ways) throws IOException {
        this.ways = ways;
        if (s.nodes().count() > MOST_NODES
                || s.durationMs() > LONGEST_MS
                || s.clients().establishedAtStart() > MOST_CLIENTS
                || s.clients().arrivalsPerSecond()
                                * s.requestClasses().stream()
                                        .mapToDouble(RequestClassSettings::connectionLifetimeMs)
                                        .max()
                                        .orElse(0)
                                / 1000
                        > MOST_CLIENTS) {
            throw new IllegalArgumentException("over sockets, at most " + MOST_NODES + " nodes, " + MOST_CLIENTS
                    + " connections and " + Math.round(LONGEST_MS / 1000) + " s");
        }
        if (s.clients().establishedAtStart() > 0 && !s.clients().connectAtStart()) {
            throw new IllegalArgumentException("over sockets, set clients.come-at-first to 1");
        }
        s.faults().stream()
                .map(FaultSettings::kind)
                .filter(FaultKinds.INJECTED_BY_LINKS::contains)
                .findFirst()
                .ifPresent(k -> {
                    throw new IllegalArgumentException(k + " needs links between the parts: emulator fault-injection");
                });
        if (s.faults().stream().anyMatch(t -> t.kind().equals("node-clocks"))) {
            throw new IllegalArgumentException(
                    "node-clocks: processes have this machine's clock, the emulator has others");
        }
        world = new World(s, seed, 1, (id, number, w) -> {
            NodeProcess p = process(jar, number);
            SocketNode n = new SocketNode(id, number, w, this, p);
            nodes.add(n);
            return n;
        });
        int mostMembers = ways == null ? MOST_MEMBERS : MOST_LINKED_MEMBERS;
        if (world.memberCount() > mostMembers) {
            throw new IllegalArgumentException("over sockets, at most " + mostMembers + " members");
        }
        Descriptors.require(s, world.memberCount());
        for (int m = 0; m < world.memberCount(); m++) {
            members.add(new SocketEndpoint(m, this, selector));
            numbers.put(world.nameOf(m), m);
        }
        for (int n = 0; n < processes.size(); n++) {
            List<InetSocketAddress> reached = new ArrayList<>();
            for (int m = 0; m < members.size(); m++) {
                InetSocketAddress there = members.get(m).address();
                reached.add(ways == null ? there : ways.openLinkToEndpoint(n, m, there, new EndpointLinkObserver(m)));
            }
            addresses.add(reached);
            int number = n;
            StubDiscovery d = new StubDiscovery();
            d.onNotified(states -> told.add(new Told(number, sinceMs(), states)));
            discoveries.add(d);
        }
        world.atStart().listings().forEach(this::news);
        world.onNews(this::news);
        NodeConfigWriter writer = new NodeConfigWriter();
        for (int n = 0; n < processes.size(); n++) {
            Files.createDirectories(folder.resolve("tmp-" + n));
            InetSocketAddress discovery = discoveries.get(n).address();
            writer.write(
                    folder.resolve("node-" + n + ".json"),
                    s,
                    n,
                    seed * 1000 + n,
                    processes.get(n).address(),
                    ways == null ? discovery : ways.openLinkToDiscovery(n, discovery),
                    world.atStart(),
                    addresses.get(n));
        }
    }

    /** One member's, at the node's end; called on the links' thread. */
    private final class EndpointLinkObserver implements LinkObserver {
        private final int member;

        EndpointLinkObserver(int member) {
            this.member = member;
        }

        @Override
        public void onFirstLine(Object connection, String line) {
            heard.add(new Heard(sinceMs(), member, connection, line));
        }

        @Override
        public void onClosed(Object connection) {
            heard.add(new Heard(sinceMs(), member, connection, null));
        }
    }

    /** What was seen at the nodes' ends of links, in the order in which it was seen. */
    private void hearLinks() {
        for (Heard h = heard.poll(); h != null; h = heard.poll()) {
            if (h.line() == null) {
                ClientRequest over = carried.remove(h.connection());
                if (over != null) {
                    nodeOf(over).rules().attemptEnded(h.atMs(), over.observed, "over at the node's end");
                }
                continue;
            }
            String[] words = h.line().split(" ");
            ClientRequest t = words.length > 1 ? tries.get(words[1]) : null;
            if (t != null) {
                carried.put(h.connection(), t);
                nodeOf(t).rules().attemptStarted(h.atMs(), t.observed, h.member());
            } else if (words.length < 2 || !hasLeft(words[1])) {
                stranger();
            }
        }
    }

    private NodeProcess process(Path jar, int number) {
        try {
            processes.add(
                    new NodeProcess(jar, folder.resolve("node-" + number + ".json"), folder.resolve("tmp-" + number)));
            return processes.get(number);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void news(EndpointListing n) {
        var e = n.entry().info();
        long startedMs = startedEpochMs(n, new SystemWallClock().now().epochMs(), nowMs());
        String state =
                e.status() == EndpointStatus.REMOVED ? "DELETED" : e.status().name();
        for (int d = 0; d < discoveries.size(); d++) {
            discoveries
                    .get(d)
                    .publish(
                            e.id(),
                            addresses.get(d).get(n.endpoint()),
                            e.zone(),
                            e.machineType(),
                            state,
                            e.weight(),
                            startedMs);
        }
        if (pushed()) {
            // What a node's agent has counts as told, whether the node asks it or not.
            for (int node = 0; node < nodes.size(); node++) {
                nodes.get(node).rules().endpointNotified(heardMs(node, nowMs()), n.endpoint(), n.isServing());
            }
        }
        if (e.startedUs() > 0) {
            started.put(n.endpoint(), e.startedUs() / 1000.0);
        }
    }

    /** When a member says that it started, by its own clock; 0 where it does not say. */
    static long startedEpochMs(EndpointListing n, long epochMs, double nowMs) {
        long startedUs = n.entry().info().startedUs();
        return startedUs == 0 ? 0 : epochMs - Math.round(nowMs - startedUs / 1000.0 - n.clockOffsetMs());
    }

    /** What answers have told meanwhile, in the order in which they were given. */
    private void hear() {
        for (Told t = told.poll(); t != null; t = told.poll()) {
            Told now = t;
            double atMs = heardMs(t.node(), t.atMs());
            t.states()
                    .forEach((id, state) -> nodes.get(now.node())
                            .rules()
                            .endpointNotified(atMs, numbers.get(id), state.equals("SERVING")));
        }
    }

    private boolean pushed() {
        return world.scenario().discovery().pushed();
    }

    /** From when on a node can hear what discovery or its agent has at that moment of the day. */
    private double heardMs(int node, double atMs) {
        return ways == null ? atMs : ways.receivableAtMs(node, atMs);
    }

    private double sinceMs() {
        return beganNs == 0 ? 0 : (System.nanoTime() - beganNs) / 1e6;
    }

    /** Milliseconds of the day, which has not begun below 0. */
    double nowMs() {
        return Math.max(latestMs, sinceMs());
    }

    /** Starts the nodes, plays the day and tells what came of it. */
    public RunResult run() throws IOException, InterruptedException {
        processes.forEach(NodeProcess::start);
        UsageSampler sampler =
                new UsageSampler(processes.stream().map(NodeProcess::usage).toList());
        try {
            return play();
        } finally {
            sampler.close();
        }
    }

    private RunResult play() throws IOException, InterruptedException {
        long waitFrom = System.nanoTime();
        while (!processes.stream().allMatch(NodeProcess::serves)) {
            if ((System.nanoTime() - waitFrom) / 1e6 > START_MS) {
                throw new IOException("the nodes do not serve after " + START_MS + " ms");
            }
            Thread.sleep(20);
        }
        List<Double> lightUp = new ArrayList<>();
        world.onDark(ms -> {
            discoveries.forEach(d -> d.setUnavailable(true));
            lightUp.add(nowMs() + ms);
        });
        beganNs = System.nanoTime();
        double window = world.scenario().network().minLatencyMs();
        while (nowMs() < world.scenario().durationMs()) {
            double before = nowMs();
            hearAll(before);
            while (served.size() <= before / 1000) {
                served.add(nodes.stream().mapToDouble(n -> n.wellServed(before)).sum());
            }
            world.runUntil(Math.max(0, before - window));
            if (!lightUp.isEmpty() && before >= lightUp.get(0)) {
                lightUp.remove(0);
                discoveries.forEach(d -> d.setUnavailable(false));
            }
            handleSockets();
            behindMs = Math.max(behindMs, nowMs() - before);
        }
        double tookS = (System.nanoTime() - beganNs) / 1e9;
        awaitAnswers();
        return world.finish(tookS);
    }

    /** What was told and seen until a moment of the day. */
    private void hearAll(double atMs) {
        latestMs = atMs;
        if (ways != null) {
            ways.advanceTo(atMs);
        }
        hear();
        hearLinks();
    }

    private void handleSockets() throws IOException {
        selector.select(1);
        // What can be read now may follow from what links have shown meanwhile, never the other way round.
        hearLinks();
        Set<SelectionKey> ready = selector.selectedKeys();
        for (Iterator<SelectionKey> i = ready.iterator(); i.hasNext(); ) {
            SelectionKey k = i.next();
            i.remove();
            if (k.attachment() instanceof SocketEndpoint m) {
                m.accept();
            } else if (k.isValid()) {
                ((LineConnection) k.attachment()).ready();
            }
        }
    }

    /**
     * Waits for the answers that are owed at the day's end, and holds the rules until then. The emulated members have stopped
     * and say nothing more, so that a node has to answer by its own clock; nothing is counted of that time.
     */
    private void awaitAnswers() throws IOException {
        dayIsOver = true;
        while (tries.values().stream().anyMatch(t -> t.answerPending)) {
            double before = nowMs();
            hearAll(before);
            handleSockets();
            List.copyOf(tries.values()).forEach(t -> nodeOf(t).judgeOverdue(t));
            behindMs = Math.max(behindMs, nowMs() - before);
        }
    }

    /** By second of the day: the share of what clients wanted that stood and brought their lines back; NaN where nothing was wanted. */
    public List<Double> servedBySecond() {
        List<Double> out = new ArrayList<>();
        for (int i = 0; i < served.size(); i++) {
            double wanted = world.wanted(i);
            out.add(wanted > 0 ? Math.min(1, served.get(i) / wanted) : Double.NaN);
        }
        return out;
    }

    /** Nodes whose process ended although nobody had ended it. */
    public List<Integer> crashed() {
        List<Integer> out = new ArrayList<>();
        for (int n = 0; n < processes.size(); n++) {
            if (processes.get(n).crashed()) {
                out.add(n);
            }
        }
        return out;
    }

    /** What the nodes' processes said between two moments of the day, on one clock. */
    public List<String> said(double fromMs, double toMs) {
        Map<Double, String> lines = new TreeMap<>();
        for (int n = 0; n < processes.size(); n++) {
            for (NodeProcess.Line l : processes.get(n).said()) {
                double atMs = (l.atNs() - beganNs) / 1e6;
                if (atMs >= fromMs && atMs <= toMs) {
                    lines.merge(
                            atMs,
                            String.format(Locale.ROOT, "%9.1f ms  n%d  %s", atMs, n, l.text()),
                            (a, b) -> a + "\n" + b);
                }
            }
        }
        return List.copyOf(lines.values());
    }

    /** Where the nodes listen. */
    public List<String> nodes() {
        return processes.stream().map(p -> p.address().toString()).toList();
    }

    /** Suspends the process of a node (SIGSTOP), or resumes it (SIGCONT). */
    public void setSuspended(int node, boolean suspended) {
        nodes.get(node).setSuspended(suspended);
    }

    boolean linked() {
        return ways != null;
    }

    /** Whether only what was asked before the day's end is still waited for. */
    boolean dayIsOver() {
        return dayIsOver;
    }

    boolean runs(int member) {
        return world.runs(member);
    }

    /** Whether it is the id of a client that has gone. */
    boolean hasLeft(String id) {
        return left.contains(id);
    }

    /** The longest turn of the tool itself: waits of less than this may be its own doing. */
    public double behindMs() {
        return behindMs;
    }

    /** First lines at members that no client of ours has sent. */
    public long strangers() {
        return strangers;
    }

    /** What each node used so far; final once the run is over. */
    public List<NodeUsage> usage() {
        List<NodeUsage> out = new ArrayList<>();
        for (int n = 0; n < nodes.size(); n++) {
            out.add(nodes.get(n).usage(discoveries.get(n).listBytes()));
        }
        return out;
    }

    /** Connections that endpoints accepted, with those on which no request came: health checks, and attempts given up. */
    public long acceptedConnections() {
        return accepted;
    }

    // ---- For nodes and members ----

    LineConnection connect(InetSocketAddress to, LineConnection.Listener listener) throws IOException {
        return LineConnection.connect(selector, to, listener);
    }

    /** What a client's connection is called on the wire; it is found by it until it is forgotten. */
    String remember(ClientRequest t) {
        String id = id(t);
        tries.put(id, t);
        return id;
    }

    void forget(ClientRequest t) {
        if (tries.remove(id(t)) != null && ways != null) {
            left.add(id(t));
        }
    }

    private static String id(ClientRequest t) {
        return String.format("%016x", t.id);
    }

    ClientRequest find(String id) {
        return tries.get(id);
    }

    SocketNode nodeOf(ClientRequest t) {
        return nodes.get((int) (t.id >>> TRIES));
    }

    double toldStartMs(int member) {
        return started.getOrDefault(member, Double.NaN);
    }

    void accepted() {
        accepted++;
    }

    void stranger() {
        strangers++;
    }

    @Override
    public void close() throws IOException {
        processes.forEach(p -> p.stop(false));
        discoveries.forEach(StubDiscovery::close);
        for (SocketEndpoint m : members) {
            m.close();
        }
        selector.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}

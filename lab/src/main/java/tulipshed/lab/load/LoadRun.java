package tulipshed.lab.load;

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
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;
import tulipshed.decision.BalancerApi.ServerState;
import tulipshed.demo.StandInDiscovery;
import tulipshed.lab.model.Outcome;
import tulipshed.lab.model.World;
import tulipshed.lab.policy.MemberNews;
import tulipshed.lab.policy.Try;
import tulipshed.lab.scenario.Scenario;

/**
 * A scenario with real nodes: each a process, with the world's clients, members and discovery on loopback sockets. The
 * world's clock is the machine's. Clients come when the scenario says, however slow answers are, and their waits count from
 * the moment at which they wanted to ask, so that a stalled node cannot hide its stall.
 */
public final class LoadRun implements AutoCloseable {
    /** Where in a try's number its node's stands. */
    static final int TRIES = 40;
    private static final int MOST_NODES = 16;
    private static final int MOST_MEMBERS = 500;
    private static final int MOST_CLIENTS = 5000;
    private static final double LONGEST_MS = 600_000;
    private static final double START_MS = 30_000;

    private final Selector selector = Selector.open();
    private final Path folder = Files.createTempDirectory("tulipshed-load");
    /** One for each node, so that it is known what each has been told. */
    private final List<StandInDiscovery> discoveries = new ArrayList<>();
    private final Queue<Told> told = new ConcurrentLinkedQueue<>();
    private final List<SocketMember> members = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<NodeProcess> processes = new ArrayList<>();
    private final List<SocketNode> nodes = new ArrayList<>();
    private final Map<String, Try> tries = new HashMap<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<Integer, Double> started = new HashMap<>();
    private final World world;
    private volatile long beganNs;
    private double latestMs;
    private double behindMs;
    private long strangers;

    private record Told(int node, double atMs, Map<String, String> states) { }

    /**
     * Sets everything up but the nodes.
     *
     * @throws IllegalArgumentException where the scenario is larger than one machine's sockets are good for
     */
    public LoadRun(Scenario s, long seed, Path jar) throws IOException {
        if (s.nodes().count() > MOST_NODES || s.lengthMs() > LONGEST_MS || s.clients().standing() > MOST_CLIENTS
                || s.clients().perSecond() * s.classes().stream().mapToDouble(Scenario.ClassOf::lifeMs).max().orElse(0) / 1000
                        > MOST_CLIENTS) {
            throw new IllegalArgumentException("over sockets, at most " + MOST_NODES + " nodes, " + MOST_CLIENTS
                    + " connections and " + Math.round(LONGEST_MS / 1000) + " s");
        }
        if (s.clients().standing() > 0 && !s.clients().comeAtFirst()) {
            throw new IllegalArgumentException("over sockets, set clients.come-at-first to 1");
        }
        if (s.troubles().stream().anyMatch(t -> t.kind().equals("partition"))) {
            throw new IllegalArgumentException("a partition cannot be made on loopback");
        }
        world = new World(s, seed, 1, (id, number, w) -> {
            NodeProcess p = process(jar, number);
            SocketNode n = new SocketNode(id, number, w, this, p);
            nodes.add(n);
            return n;
        });
        if (world.memberCount() > MOST_MEMBERS) {
            throw new IllegalArgumentException("over sockets, at most " + MOST_MEMBERS + " members");
        }
        for (int m = 0; m < world.memberCount(); m++) {
            members.add(new SocketMember(m, this, selector));
            addresses.add(members.get(m).address());
            numbers.put(world.nameOf(m), m);
        }
        for (int n = 0; n < processes.size(); n++) {
            int number = n;
            StandInDiscovery d = new StandInDiscovery();
            d.onTold(states -> told.add(new Told(number, sinceMs(), states)));
            discoveries.add(d);
        }
        world.atStart().news().forEach(this::news);
        world.onNews(this::news);
        NodeConfigWriter writer = new NodeConfigWriter();
        for (int n = 0; n < processes.size(); n++) {
            Files.createDirectories(folder.resolve("tmp-" + n));
            writer.write(folder.resolve("node-" + n + ".json"), s, n, seed * 1000 + n, processes.get(n).address(),
                    discoveries.get(n).address(), world.atStart(), addresses);
        }
    }

    private NodeProcess process(Path jar, int number) {
        try {
            processes.add(new NodeProcess(jar, folder.resolve("node-" + number + ".json"), folder.resolve("tmp-" + number)));
            return processes.get(number);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void news(MemberNews n) {
        var e = n.listed().entry();
        long startedMs = e.startedUs() == 0 ? 0
                : System.currentTimeMillis() - Math.round(nowMs() - e.startedUs() / 1000.0);
        String state = e.state() == ServerState.GONE ? "DELETED" : e.state().name();
        discoveries.forEach(d -> d.tell(e.server(), addresses.get(n.member()), e.zone(), e.kind(), state, e.share(), startedMs));
        if (e.startedUs() > 0) {
            started.put(n.member(), e.startedUs() / 1000.0);
        }
    }

    /** What answers have told meanwhile, in the order in which they were given. */
    private void hear() {
        for (Told t = told.poll(); t != null; t = told.poll()) {
            Told now = t;
            t.states().forEach((id, state) ->
                    nodes.get(now.node()).rules().told(now.atMs(), numbers.get(id), state.equals("SERVING")));
        }
    }

    private double sinceMs() {
        return beganNs == 0 ? 0 : (System.nanoTime() - beganNs) / 1e6;
    }

    /** Milliseconds of the day, which has not begun below 0. */
    double nowMs() {
        return Math.max(latestMs, sinceMs());
    }

    /** Starts the nodes, plays the day and tells what came of it. */
    public Outcome run() throws IOException, InterruptedException {
        processes.forEach(NodeProcess::start);
        long waitFrom = System.nanoTime();
        while (!processes.stream().allMatch(NodeProcess::serves)) {
            if ((System.nanoTime() - waitFrom) / 1e6 > START_MS) {
                throw new IOException("the nodes do not serve after " + START_MS + " ms");
            }
            Thread.sleep(20);
        }
        List<Double> lightUp = new ArrayList<>();
        world.onDark(ms -> {
            discoveries.forEach(d -> d.dark(true));
            lightUp.add(nowMs() + ms);
        });
        beganNs = System.nanoTime();
        double window = world.scenario().network().leastMs();
        while (nowMs() < world.scenario().lengthMs()) {
            double before = nowMs();
            latestMs = before;
            hear();
            world.runUntil(Math.max(0, before - window));
            if (!lightUp.isEmpty() && before >= lightUp.get(0)) {
                lightUp.remove(0);
                discoveries.forEach(d -> d.dark(false));
            }
            selector.select(1);
            Set<SelectionKey> ready = selector.selectedKeys();
            for (Iterator<SelectionKey> i = ready.iterator(); i.hasNext();) {
                SelectionKey k = i.next();
                i.remove();
                if (k.attachment() instanceof SocketMember m) {
                    m.accept();
                } else if (k.isValid()) {
                    ((Wire) k.attachment()).ready();
                }
            }
            behindMs = Math.max(behindMs, nowMs() - before);
        }
        return world.finish((System.nanoTime() - beganNs) / 1e9);
    }

    /** The longest turn of the tool itself: waits of less than this may be its own doing. */
    public double behindMs() {
        return behindMs;
    }

    /** First lines at members that no client of ours has sent. */
    public long strangers() {
        return strangers;
    }

    // ---- For nodes and members ----

    Wire connect(InetSocketAddress to, Wire.Listener listener) throws IOException {
        return Wire.connect(selector, to, listener);
    }

    /** What a client's connection is called on the wire; it is found by it until it is forgotten. */
    String remember(Try t) {
        String id = id(t);
        tries.put(id, t);
        return id;
    }

    void forget(Try t) {
        tries.remove(id(t));
    }

    private static String id(Try t) {
        return String.format("%016x", t.id);
    }

    Try find(String id) {
        return tries.get(id);
    }

    SocketNode nodeOf(Try t) {
        return nodes.get((int) (t.id >>> TRIES));
    }

    double toldStartMs(int member) {
        return started.getOrDefault(member, Double.NaN);
    }

    void stranger() {
        strangers++;
    }

    @Override
    public void close() throws IOException {
        processes.forEach(p -> p.stop(false));
        discoveries.forEach(StandInDiscovery::close);
        for (SocketMember m : members) {
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

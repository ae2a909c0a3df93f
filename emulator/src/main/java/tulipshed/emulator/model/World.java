package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.engine.Actor;
import tulipshed.emulator.engine.Engine;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.EndpointListDelivery;
import tulipshed.emulator.policy.EndpointListing;
import tulipshed.emulator.policy.Policy;
import tulipshed.emulator.policy.PolicyFactory;
import tulipshed.emulator.policy.PolicyHost;
import tulipshed.emulator.scenario.ClientSettings;
import tulipshed.emulator.scenario.EndpointType;
import tulipshed.emulator.scenario.NetworkSettings;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.TenantSettings;

/** A world built from a scenario and a seed, run through its day once. */
public final class World {
    private static final int DISCOVERY = 1;
    private static final int FIRST_NODE = 1_000;
    private static final int FIRST_MEMBER = 1_000_000;
    private static final double AWAITED_MS = 1000; // after the longest wait of a client; by then its answer is lost

    final Scenario scenario;
    final long seed;
    final Counters[] tallies;
    final NodeActor[] nodes;
    final double[] nodeClockOffMs;
    final EmulatedEndpoint[] members;
    final EmulatedDiscovery discovery;
    final Function<PolicyHost, Policy> policies;
    final EndpointListDelivery atStart;
    final NetworkPartitions cuts = new NetworkPartitions();
    /** Members that run when the day begins; those after them come by a trouble. */
    final int listedAtStart;

    private final Engine engine;
    private Consumer<String> teller;
    private double tellFromMs;
    private double tellToMs;
    private final double[] classUpTo;
    private final double[] tenantUpTo;
    private final double[] groupUpTo;

    /**
     * Builds a world.
     *
     * @param threads that run it; the result is the same for any number
     */
    public World(Scenario scenario, long seed, int threads) {
        this(scenario, seed, threads, EmulatedNode::new);
    }

    /** Makes the world's side of a node. */
    public interface NodeMaker {
        /** Creates the node of that number. */
        NodeActor make(int id, int number, World world);
    }

    /** Builds a world with nodes of another making. */
    public World(Scenario scenario, long seed, int threads, NodeMaker maker) {
        this.scenario = scenario;
        this.seed = seed;
        int usable = PolicyFactory.needsSingleThread(scenario.policy()) ? 1 : threads;
        engine = new Engine(usable, scenario.network().minLatencyMs());
        tallies = new Counters[usable];
        for (int i = 0; i < usable; i++) {
            tallies[i] = new Counters(scenario);
        }
        classUpTo = upTo(scenario.requestClasses().stream()
                .mapToDouble(RequestClassSettings::share)
                .toArray());
        tenantUpTo = upTo(scenario.tenants().stream()
                .mapToDouble(TenantSettings::demandShare)
                .toArray());
        List<EndpointType> kinds = kindsInTurn();
        int atFirst = kinds.size();
        groupUpTo = upTo(groupPopularity());
        listedAtStart = atFirst;
        int more = scenario.faults().stream()
                .filter(t -> t.kind().equals("add-members"))
                .mapToInt(t -> FaultPlan.count(t, atFirst))
                .sum();
        members = new EmulatedEndpoint[atFirst + more];
        Map<String, Integer> numbers = new HashMap<>();
        for (int m = 0; m < members.length; m++) {
            members[m] = new EmulatedEndpoint(FIRST_MEMBER + m, m, kinds.get(m % atFirst), this);
            numbers.put(members[m].name, m);
            engine.add(members[m]);
        }
        FaultPlan.planPartitions(this);
        policies = PolicyFactory.of(scenario.policy(), numbers);
        discovery = new EmulatedDiscovery(DISCOVERY, this);
        engine.add(discovery);
        atStart = discovery.atStart();
        nodes = new NodeActor[scenario.nodes().count()];
        nodeClockOffMs = FaultPlan.nodeClockOffsetsMs(this);
        for (int n = 0; n < nodes.length; n++) {
            nodes[n] = maker.make(FIRST_NODE + n, n, this);
            engine.add(nodes[n]);
        }
        begin();
    }

    /** The relative popularity of each affinity group: a Zipf distribution. */
    private double[] groupPopularity() {
        double[] popularity = new double[scenario.clients().groupCount()];
        for (int g = 0; g < popularity.length; g++) {
            popularity[g] = Math.pow(g + 1, -scenario.clients().groupSkew());
        }
        return popularity;
    }

    /** Kinds take turns, so that a fleet's first members are no single kind. */
    private List<EndpointType> kindsInTurn() {
        List<EndpointType> out = new ArrayList<>();
        int most = scenario.endpointTypes().stream()
                .mapToInt(EndpointType::count)
                .max()
                .orElse(0);
        for (int round = 0; round < most; round++) {
            for (EndpointType k : scenario.endpointTypes()) {
                if (round < k.count()) {
                    out.add(k);
                }
            }
        }
        return out;
    }

    private void begin() {
        for (int m = 0; m < members.length; m++) {
            members[m].begin(m < listedAtStart);
        }
        for (NodeActor n : nodes) {
            n.begin(atStart);
        }
        UniformRandomProvider random = RandomStreams.random(seed, 0, 0);
        double[] load = new double[listedAtStart];
        for (int i = 0;
                i < scenario.clients().establishedAtStart()
                        && scenario.clients().connectAtStart();
                i++) {
            double at = scenario.settleMs() * random.nextDouble();
            ClientDemand w = wish(random, at);
            wants(tallies[0], w, at);
            w.firstRequestMs = at;
            nodes[random.nextInt(nodes.length)].scheduleSelf(at, new ClientMessage.ClientReturns(w));
        }
        for (int i = 0;
                i < scenario.clients().establishedAtStart()
                        && !scenario.clients().connectAtStart();
                i++) {
            // Where an earlier day left them: about even, as by the lighter of two.
            ClientDemand w = wish(random, 0);
            wants(tallies[0], w, 0);
            int a = place(w, random);
            int b = place(w, random);
            double sizeA = members[a].kind.cores() * members[a].kind.speed();
            double sizeB = members[b].kind.cores() * members[b].kind.speed();
            int m = load[b] / sizeB < load[a] / sizeA ? b : a;
            load[m] += w.load;
            members[m].adopt(nodes[random.nextInt(nodes.length)].alreadyOpen(w, m));
        }
        new FaultPlan(this, RandomStreams.random(seed, 0, 1)).planAll();
    }

    /** Where a connection may stand that came before: a group stands at its share of the members, two at least. */
    private int place(ClientDemand w, UniformRandomProvider random) {
        if (w.group < 0) {
            return random.nextInt(listedAtStart);
        }
        double share = groupUpTo[w.group] - (w.group == 0 ? 0 : groupUpTo[w.group - 1]);
        int places = (int) Math.max(2, Math.min(listedAtStart, Math.round(share * listedAtStart)));
        return (int) Long.remainderUnsigned(RandomStreams.of(seed, w.group, 7 + random.nextInt(places)), listedAtStart);
    }

    /** The scenario that is run. */
    public Scenario scenario() {
        return scenario;
    }

    /** The name of a member. */
    public String nameOf(int member) {
        return members[member].name;
    }

    /** Whether a member's process runs. */
    public boolean runs(int member) {
        return members[member].alive();
    }

    /** Worth of all that clients wanted within a second of the day, for as long as each wanted it; 1 is one connection of worth 1. */
    public double wanted(int second) {
        long sum = 0;
        for (Counters t : tallies) {
            sum += t.secondWanted[Math.min(t.seconds - 1, second)];
        }
        return sum / 1e6;
    }

    /** How many members there may ever be. */
    public int memberCount() {
        return members.length;
    }

    /** Has all that discovery comes to know told to somebody else as well, from now on. */
    public void onNews(Consumer<EndpointListing> listener) {
        discovery.onNews = listener;
    }

    /** Discovery has nothing to say to anybody, for so long. */
    public void onDark(Consumer<Double> listener) {
        discovery.onDark = listener;
    }

    /** What discovery tells at the beginning. */
    public EndpointListDelivery atStart() {
        return atStart;
    }

    /** What came of a day that was run by {@link #runUntil}. */
    public RunResult finish(double tookS) {
        for (EmulatedEndpoint m : members) {
            m.end(scenario.durationMs());
        }
        return RunResult.of(this, tookS);
    }

    private static double[] upTo(double[] shares) {
        double sum = 0;
        double[] out = new double[shares.length];
        for (int i = 0; i < shares.length; i++) {
            sum += shares[i];
            out[i] = sum;
        }
        for (int i = 0; i < shares.length; i++) {
            out[i] = sum > 0 ? out[i] / sum : (i + 1.0) / shares.length;
        }
        return out;
    }

    private static int pick(double[] upTo, double x) {
        int i = 0;
        while (i < upTo.length - 1 && x >= upTo[i]) {
            i++;
        }
        return i;
    }

    /** A new client's wish. */
    ClientDemand wish(UniformRandomProvider random, double nowMs) {
        int c = pick(classUpTo, random.nextDouble());
        int t = pick(tenantUpTo, random.nextDouble());
        ClientSettings clients = scenario.clients();
        int group = clients.groupCount() > 0 && random.nextDouble() < clients.groupedShare()
                ? search(groupUpTo, random.nextDouble())
                : -1;
        RequestClassSettings kind = scenario.requestClasses().get(c);
        return new ClientDemand(
                c,
                t,
                group,
                kind.load() * RandomStreams.lognormal(random, clients.loadSpread()),
                nowMs + RandomStreams.exponential(random, kind.connectionLifetimeMs()));
    }

    private static int search(double[] upTo, double x) {
        int at = java.util.Arrays.binarySearch(upTo, x);
        return Math.min(upTo.length - 1, at < 0 ? -at - 1 : at);
    }

    /** Counts what a client wants from now on, second by second. */
    void wants(Counters t, ClientDemand w, double nowMs) {
        double until = Math.min(w.wantedUntilMs, scenario.durationMs());
        for (double at = nowMs; at < until; ) {
            int second = (int) (at / 1000);
            double next = Math.min(until, (second + 1) * 1000.0);
            t.wanted(w.requestClass, w.tenant, second, next - at);
            at = next;
        }
    }

    /** A node's share of the clients of the front layer. */
    double shareOf(int node) {
        int n = scenario.nodes().count();
        double skew = scenario.nodes().skew();
        double mine = 1 + skew * (n - 1 - node) / Math.max(1, n - 1);
        return mine / (n * (1 + skew / 2));
    }

    double wayMs(String from, String to, UniformRandomProvider random) {
        NetworkSettings n = scenario.network();
        double jitter = n.jitterMs() > 0 ? RandomStreams.exponential(random, n.jitterMs()) : 0;
        return (from.equals(to) ? n.withinSiteMs() : n.betweenSitesMs()) + jitter;
    }

    /** Without jitter: what discovery tells comes in order. */
    double wayToDiscovery(Actor<?> of) {
        String site = of instanceof NodeActor n ? n.site : ((EmulatedEndpoint) of).site;
        return site.equals(discovery.site())
                ? scenario.network().withinSiteMs()
                : scenario.network().betweenSitesMs();
    }

    /** Has all that happens in a span of time told in words; the world must run on one thread. */
    public void tellBetween(double from, double to, Consumer<String> listener) {
        if (engine.threads() > 1) {
            throw new IllegalArgumentException("what happens is told on one thread only");
        }
        tellFromMs = from;
        tellToMs = to;
        teller = listener;
    }

    /** Whether anybody wants to know. */
    boolean tells(double nowMs) {
        return teller != null && nowMs >= tellFromMs && nowMs <= tellToMs;
    }

    void tell(double nowMs, String what) {
        teller.accept(String.format(Locale.ROOT, "%10.3f ms  %s", nowMs, what));
    }

    /** Runs no further than that, and counts nothing. */
    public void runUntil(double ms) {
        engine.run(Math.min(ms, scenario.durationMs()));
    }

    Engine engine() {
        return engine;
    }

    /**
     * Runs the day and tells what came of it. What was asked on its last seconds is waited for, and the rules hold until
     * then; nothing else is counted of that time.
     */
    public RunResult run() {
        long began = System.nanoTime();
        engine.run(scenario.durationMs());
        RunResult day = finish((System.nanoTime() - began) / 1e9);
        double longest = scenario.requestClasses().stream()
                .mapToDouble(RequestClassSettings::deadlineMs)
                .max()
                .orElse(0);
        engine.run(scenario.durationMs() + longest + AWAITED_MS);
        return day.with(Counters.sum(this).rules);
    }
}

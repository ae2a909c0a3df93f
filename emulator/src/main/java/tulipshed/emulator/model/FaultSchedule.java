package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.engine.Actor;
import tulipshed.emulator.engine.Payload;
import tulipshed.emulator.scenario.EndpointModel;
import tulipshed.emulator.scenario.FaultSettings;

/** Plans a day's troubles: whom each strikes and when, by chance from the seed, before the day begins. */
final class FaultSchedule {
    private static final Map<String, EndpointFaults.Fate> FATES = Map.of(
            "lose-answers",
            EndpointFaults.Fate.ANSWER_LOST,
            "spoil-answers",
            EndpointFaults.Fate.ANSWER_SPOILT,
            "reset-requests",
            EndpointFaults.Fate.RESET);

    private final World world;
    private final UniformRandomProvider random;
    private final Planner planner;

    /** Where the plan comes from; it only sends. */
    private static final class Planner extends Actor<Payload> {
        Planner() {
            super(2);
        }

        @Override
        protected void receive(double nowMs, Payload payload) {
            throw new IllegalStateException("nothing is sent to the planner");
        }

        <P extends Payload> void plan(double atMs, Actor<P> receiver, P payload) {
            send(atMs, receiver, payload);
        }
    }

    FaultSchedule(World world, UniformRandomProvider random) {
        this.world = world;
        this.random = random;
        planner = new Planner();
        world.engine().add(planner);
    }

    static int count(FaultSettings t, int of) {
        return t.count() > 0 ? t.count() : (int) Math.max(1, Math.round(t.share() * of));
    }

    private List<Integer> chosen(FaultSettings t, int of) {
        return chosen(random, t, of);
    }

    private static List<Integer> chosen(UniformRandomProvider random, FaultSettings t, int of) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        ListSampler.shuffle(random, all);
        return all.subList(0, Math.min(of, count(t, of)));
    }

    private double within(FaultSettings t) {
        return t.atMs() + t.durationMs() * random.nextDouble();
    }

    private void state(double atMs, int member, EndpointStatus state, double startedMs) {
        planner.plan(atMs, world.discovery, new DiscoveryMessage.StatusChange(member, state, startedMs));
    }

    void plan() {
        int added = world.listedAtStart;
        for (FaultSettings t : world.scenario.faults()) {
            if (t.kind().equals("add-members")) {
                int n = count(t, world.listedAtStart);
                for (int m = added; m < added + n; m++) {
                    double at = within(t);
                    planner.plan(at, world.members[m], new EndpointMessage.ProcessStarts());
                    state(at, m, EndpointStatus.SERVING, at);
                }
                added += n;
            } else if (t.kind().endsWith("-members") && !t.kind().equals("silence-members")) {
                members(t);
            } else if (FATES.containsKey(t.kind())) {
                for (EmulatedEndpoint m : world.members) {
                    fault(t, m, FATES.get(t.kind()), t.share());
                }
            } else {
                nodes(t);
            }
        }
    }

    private void fault(FaultSettings t, EmulatedEndpoint member, EndpointFaults.Fate fate, double share) {
        planner.plan(t.atMs(), member, new EndpointMessage.FaultShare(fate, share));
        planner.plan(t.atMs() + t.durationMs(), member, new EndpointMessage.FaultShare(fate, 0));
    }

    /** Who is out of whose reach, and when; from a chance of its own, as the world must know it before all else. */
    static void cuts(World world) {
        UniformRandomProvider random = RandomStreams.random(world.seed, 0, 2);
        for (FaultSettings t : world.scenario.faults()) {
            double untilMs = t.atMs() + t.durationMs();
            if (t.kind().equals("partition")) {
                world.cuts.site(site(t, world), t.atMs(), untilMs);
            } else if (t.kind().equals("silence-members")) {
                chosen(random, t, world.listedAtStart).forEach(m -> world.cuts.member(m, t.atMs(), untilMs));
            }
        }
    }

    /** By how much each node's own clock is ahead of the world's time; its origin is nobody else's affair. */
    static double[] nodeClocks(World world) {
        UniformRandomProvider random = RandomStreams.random(world.seed, 0, 3);
        double[] off = new double[world.nodes.length];
        for (FaultSettings t : world.scenario.faults()) {
            if (t.kind().equals("node-clocks")) {
                chosen(random, t, off.length).forEach(n -> off[n] = 1000 * t.factor());
            }
        }
        return off;
    }

    private static String site(FaultSettings t, World world) {
        return "s" + t.count() % world.scenario.network().sites();
    }

    /** All of a zone's members are lost at one moment, in silence, and come back together as new processes. */
    private void zone(FaultSettings t) {
        String site = site(t, world);
        double backMs = t.atMs() + t.durationMs();
        double knownMs = t.atMs() + world.scenario.discovery().silentFailureDetectionMs();
        for (int m = 0; m < world.listedAtStart; m++) {
            if (world.members[m].site.equals(site)) {
                planner.plan(t.atMs(), world.members[m], new EndpointMessage.ProcessEnds(false));
                if (knownMs < backMs) {
                    state(knownMs, m, EndpointStatus.REMOVED, 0);
                }
                planner.plan(backMs, world.members[m], new EndpointMessage.ProcessStarts());
                state(backMs, m, EndpointStatus.SERVING, backMs);
            }
        }
    }

    private void members(FaultSettings t) {
        EndpointModel model = world.scenario.endpointModel();
        for (int m : chosen(t, world.listedAtStart)) {
            EmulatedEndpoint member = world.members[m];
            double at = t.kind().startsWith("slow")
                            || t.kind().startsWith("pause")
                            || t.kind().startsWith("failing")
                    ? t.atMs()
                    : within(t);
            switch (t.kind()) {
                case "deploy-members", "remove-members" -> {
                    double gone = at + model.drainMs();
                    state(at, m, EndpointStatus.DRAINING, 0);
                    planner.plan(gone, member, new EndpointMessage.DrainOver());
                    state(gone, m, EndpointStatus.REMOVED, 0);
                    if (t.kind().startsWith("deploy")) {
                        double back = gone + model.restartMs();
                        planner.plan(back, member, new EndpointMessage.ProcessStarts());
                        state(back, m, EndpointStatus.SERVING, back);
                    }
                }
                case "kill-members", "crash-members" -> {
                    planner.plan(
                            at, member, new EndpointMessage.ProcessEnds(t.kind().startsWith("crash")));
                    state(
                            at
                                    + (t.kind().startsWith("crash")
                                            ? world.scenario.discovery().failureDetectionMs()
                                            : world.scenario.discovery().silentFailureDetectionMs()),
                            m,
                            EndpointStatus.REMOVED,
                            0);
                }
                case "slow-members" -> {
                    planner.plan(at, member, new EndpointMessage.Slowdown(Math.max(1, t.factor())));
                    planner.plan(at + t.durationMs(), member, new EndpointMessage.Slowdown(1));
                }
                case "failing-members" -> fault(t, member, EndpointFaults.Fate.ERROR, Math.min(1, t.factor()));
                case "pause-members" -> planner.plan(at, member, new EndpointMessage.Pause(t.durationMs()));
                default -> throw new IllegalStateException(t.kind());
            }
        }
    }

    private void nodes(FaultSettings t) {
        switch (t.kind()) {
            case "deploy-nodes", "kill-nodes" -> {
                for (int n : chosen(t, world.nodes.length)) {
                    planner.plan(
                            within(t),
                            world.nodes[n],
                            new ProcessMessage.StopProcess(t.kind().startsWith("deploy")));
                }
            }
            case "dark-list" -> planner.plan(t.atMs(), world.discovery, new DiscoveryMessage.Outage(t.durationMs()));
            case "burst" -> {
                for (NodeActor n : world.nodes) {
                    planner.plan(t.atMs(), n, new ClientMessage.ArrivalRate(t.factor()));
                    planner.plan(t.atMs() + t.durationMs(), n, new ClientMessage.ArrivalRate(1));
                }
            }
            case "impatient" -> {
                for (NodeActor n : world.nodes) {
                    planner.plan(t.atMs(), n, new ClientMessage.ImpatientClients(t.durationMs()));
                }
            }
            case "roll-nodes" -> {
                int steps = Math.max(1, t.count());
                List<Integer> all = chosen(new FaultSettings(0, t.kind(), 1, 0, 0, 0), world.nodes.length);
                for (int i = 0; i < all.size(); i++) {
                    int step = i * steps / all.size();
                    planner.plan(
                            t.atMs() + t.durationMs() * step / steps,
                            world.nodes[all.get(i)],
                            new ProcessMessage.StopProcess(true));
                }
            }
            case "reload" -> {
                for (NodeActor n : world.nodes) {
                    planner.plan(within(t), n, new ProcessMessage.ReloadConfiguration());
                }
            }
            case "clocks-ahead", "clocks-behind" -> {
                double off = 1000 * t.factor() * (t.kind().equals("clocks-ahead") ? 1 : -1);
                for (int m : chosen(t, world.members.length)) {
                    planner.plan(t.atMs(), world.discovery, new DiscoveryMessage.ClockStep(m, off));
                    if (t.durationMs() > 0) {
                        planner.plan(t.atMs() + t.durationMs(), world.discovery, new DiscoveryMessage.ClockStep(m, 0));
                    }
                }
            }
            case "node-clocks" -> {
                // Known to each process before it starts.
            }
            case "hot-restart-nodes" -> {
                for (int n : chosen(t, world.nodes.length)) {
                    planner.plan(within(t), world.nodes[n], new ProcessMessage.HotRestart());
                }
            }
            case "hold-up-nodes" -> {
                for (int n : chosen(t, world.nodes.length)) {
                    planner.plan(t.atMs(), world.nodes[n], new ProcessMessage.StallsBegin(t.durationMs()));
                }
            }
            case "late-list" -> {
                planner.plan(t.atMs(), world.discovery, new DiscoveryMessage.NotificationDelay(1000 * t.factor()));
                planner.plan(t.atMs() + t.durationMs(), world.discovery, new DiscoveryMessage.NotificationDelay(0));
            }
            case "early-clients" -> {
                for (NodeActor n : world.nodes) {
                    planner.plan(t.atMs(), n, new ClientMessage.EarlyLeaveShare(t.share()));
                    planner.plan(
                            t.atMs() + t.durationMs(),
                            n,
                            new ClientMessage.EarlyLeaveShare(
                                    world.scenario.clients().abandonShare()));
                }
            }
            case "shift" -> shift(t);
            case "lose-zone" -> zone(t);
            case "partition", "silence-members" -> {
                for (NodeActor n : world.nodes) {
                    planner.plan(t.atMs(), n, new ProcessMessage.NetworkPartitioned());
                }
                for (EmulatedEndpoint m : world.members) {
                    planner.plan(t.atMs(), m, new EndpointMessage.PartitionBegan());
                }
            }
            default ->
                throw new IllegalArgumentException(
                        t.kind() + " needs links between real processes: emulator fault-injection");
        }
    }

    /** One site's nodes get that many times their clients, at the cost of all others. */
    private void shift(FaultSettings t) {
        String site = site(t, world);
        double there = 0;
        for (NodeActor n : world.nodes) {
            there += n.site.equals(site) ? world.shareOf(n.number) : 0;
        }
        double others = there < 1 ? Math.max(0, (1 - t.factor() * there) / (1 - there)) : 1;
        for (NodeActor n : world.nodes) {
            planner.plan(
                    t.atMs(), n, new ClientMessage.ArrivalRate(n.site.equals(site) && there < 1 ? t.factor() : others));
            planner.plan(t.atMs() + t.durationMs(), n, new ClientMessage.ArrivalRate(1));
        }
    }
}

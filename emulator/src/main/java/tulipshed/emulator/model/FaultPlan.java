package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.engine.Actor;
import tulipshed.emulator.engine.Payload;
import tulipshed.emulator.scenario.FaultSettings;
import tulipshed.emulator.scenario.Scenario;

/** The faults of a run as messages to the actors that they strike; what {@link FaultKind}s use to plan themselves. */
final class FaultPlan {
    private static final int PLANNER_ID = 2;

    private final World world;
    private final UniformRandomProvider random;
    private final Planner planner = new Planner();
    private int firstSpareEndpoint;

    /** The sender of the plan's messages. */
    private static final class Planner extends Actor<Payload> {
        Planner() {
            super(PLANNER_ID);
        }

        @Override
        protected void receive(double nowMs, Payload payload) {
            throw new IllegalStateException("nothing is sent to the planner");
        }

        <P extends Payload> void plan(double deliveryMs, Actor<P> receiver, P payload) {
            send(deliveryMs, receiver, payload);
        }
    }

    FaultPlan(World world, UniformRandomProvider random) {
        this.world = world;
        this.random = random;
        firstSpareEndpoint = world.listedAtStart;
        world.engine().add(planner);
    }

    /** Plans all faults of the world's scenario. */
    void planAll() {
        for (FaultSettings trouble : world.scenario.faults()) {
            FaultKinds.of(trouble).plan(trouble, this);
        }
    }

    /** Records all partitions of the world's scenario; they are known before any actor starts. */
    static void planPartitions(World world) {
        UniformRandomProvider random = RandomStreams.random(world.seed, 0, 2);
        for (FaultSettings trouble : world.scenario.faults()) {
            FaultKinds.of(trouble).planPartitions(trouble, random, world);
        }
    }

    /** By how many milliseconds each node's own clock is ahead of virtual time. */
    static double[] nodeClockOffsetsMs(World world) {
        UniformRandomProvider random = RandomStreams.random(world.seed, 0, 3);
        double[] offsetsMs = new double[world.nodes.length];
        for (FaultSettings trouble : world.scenario.faults()) {
            FaultKinds.of(trouble).planNodeClocks(trouble, random, offsetsMs);
        }
        return offsetsMs;
    }

    /** How many of a number of actors a fault strikes: its count, or its share of them, at least 1. */
    static int count(FaultSettings trouble, int of) {
        return trouble.count() > 0 ? trouble.count() : (int) Math.max(1, Math.round(trouble.share() * of));
    }

    /** Chooses the actors that a fault strikes, by number. */
    static List<Integer> choose(UniformRandomProvider random, FaultSettings trouble, int of) {
        List<Integer> all = shuffled(random, of);
        return all.subList(0, Math.min(of, count(trouble, of)));
    }

    private static List<Integer> shuffled(UniformRandomProvider random, int count) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(i);
        }
        ListSampler.shuffle(random, all);
        return all;
    }

    /** The site that a fault names by its count. */
    static String site(FaultSettings trouble, World world) {
        return "s" + trouble.count() % world.scenario.network().sites();
    }

    String site(FaultSettings trouble) {
        return site(trouble, world);
    }

    Scenario scenario() {
        return world.scenario;
    }

    EmulatedDiscovery discovery() {
        return world.discovery;
    }

    EmulatedEndpoint endpoint(int number) {
        return world.members[number];
    }

    /** The number of endpoints that there may ever be. */
    int endpointCount() {
        return world.members.length;
    }

    /** The number of endpoints that run at the beginning. */
    int initialEndpointCount() {
        return world.listedAtStart;
    }

    NodeActor[] nodes() {
        return world.nodes;
    }

    /** The share of all clients that the front layer sends to a node, 0 to 1. */
    double clientShare(NodeActor node) {
        return world.shareOf(node.number);
    }

    /** How many of the endpoints that run at the beginning a fault strikes. */
    int count(FaultSettings trouble) {
        return count(trouble, world.listedAtStart);
    }

    /** Takes as many endpoints as a fault strikes from those that have not run; returns the first one's number. */
    int takeSpareEndpoints(FaultSettings trouble) {
        int first = firstSpareEndpoint;
        firstSpareEndpoint += count(trouble);
        return first;
    }

    /** Chooses among the endpoints that run at the beginning. */
    List<Integer> chooseEndpoints(FaultSettings trouble) {
        return choose(random, trouble, world.listedAtStart);
    }

    /** Chooses among the endpoints that there may ever be. */
    List<Integer> chooseEndpointsEver(FaultSettings trouble) {
        return choose(random, trouble, world.members.length);
    }

    List<NodeActor> chooseNodes(FaultSettings trouble) {
        return nodes(choose(random, trouble, world.nodes.length));
    }

    /** All nodes in random order. */
    List<NodeActor> shuffledNodes() {
        return nodes(shuffled(random, world.nodes.length));
    }

    private List<NodeActor> nodes(List<Integer> numbers) {
        return numbers.stream().map(number -> world.nodes[number]).toList();
    }

    /** When a fault is over, in virtual milliseconds. */
    double endMs(FaultSettings trouble) {
        return trouble.atMs() + trouble.durationMs();
    }

    /** A random time between the beginning and the end of a fault, in virtual milliseconds. */
    double randomTime(FaultSettings trouble) {
        return trouble.atMs() + trouble.durationMs() * random.nextDouble();
    }

    /** A random number from 0 to {@code bound - 1}. */
    int randomInt(int bound) {
        return random.nextInt(bound);
    }

    /** A random time span from 0 to a limit, in milliseconds. */
    double randomUpTo(double limitMs) {
        return limitMs * random.nextDouble();
    }

    <P extends Payload> void send(double deliveryMs, Actor<P> receiver, P payload) {
        planner.plan(deliveryMs, receiver, payload);
    }

    /** Tells discovery that the status of an endpoint changes; its start is 0 where it has none. */
    void changeStatus(double atMs, int endpoint, EndpointStatus status, double startedMs) {
        send(atMs, world.discovery, new DiscoveryMessage.StatusChange(endpoint, status, startedMs));
    }

    /** Gives a share of an endpoint's requests a fate while a fault lasts. */
    void setFaultShare(FaultSettings trouble, int endpoint, EndpointFaults.Fate fate, double share) {
        send(trouble.atMs(), endpoint(endpoint), new EndpointMessage.FaultShare(fate, share));
        send(endMs(trouble), endpoint(endpoint), new EndpointMessage.FaultShare(fate, 0));
    }

    /** Tells all nodes and endpoints that a part of the network is out of reach from the beginning of a fault. */
    void announcePartition(FaultSettings trouble) {
        for (NodeActor node : world.nodes) {
            send(trouble.atMs(), node, new ProcessMessage.NetworkPartitioned());
        }
        for (EmulatedEndpoint endpoint : world.members) {
            send(trouble.atMs(), endpoint, new EndpointMessage.PartitionBegan());
        }
    }
}

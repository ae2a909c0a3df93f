package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.engine.Actor;
import tulipshed.emulator.engine.Message;
import tulipshed.emulator.invariants.NodeInvariants;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EndpointListDelivery;

/** The world's side of a node, emulated or a process of its own: where its clients come, and what its members see of it. */
public abstract class NodeActor extends Actor {
    /** How long after a client's wait an answer still counts. */
    protected static final double SLACK_MS = 20;

    protected final int number;
    protected final String site;
    protected final World world;
    protected final UniformRandomProvider random;
    protected final Clients clients;
    protected double nowMs;

    /** A side of its own, from the world's seed. */
    protected NodeActor(int id, int number, World world) {
        super(id);
        this.number = number;
        this.world = world;
        site = "s" + number % world.scenario().network().sites();
        random = RandomStreams.random(world.seed, id, 0);
        clients = new Clients(this, world, RandomStreams.random(world.seed, id, 1));
    }

    /** The day begins; that is what discovery has told before. */
    protected abstract void begin(EndpointListDelivery list);

    /** Whether the front layer sends it anybody. */
    protected abstract boolean takes();

    /** A client asks here; an answer is owed. */
    protected abstract void asked(ClientDemand w, double graceMs);

    /** The client's wait and the slack are over; whether it goes on unanswered. */
    protected abstract boolean unanswered(ClientRequest t);

    /** A connection that stands when the day begins. */
    protected abstract tulipshed.emulator.policy.EmulatedAttempt alreadyOpen(ClientDemand w, int member);

    /** What holds a process of this node to the rules. */
    protected final NodeInvariants newRules() {
        return newRules(0);
    }

    /** The same with each time limit so much longer, as on sockets. */
    protected final NodeInvariants newRules(double longerMs) {
        return new NodeInvariants(
                number,
                tally().rules,
                SLACK_MS + longerMs,
                world.scenario().endpointModel().drainGraceMs() + longerMs);
    }

    @Override
    protected final void take(double atMs, Message m) {
        nowMs = atMs;
        switch (m.kind) {
            case Kinds.ARRIVAL -> clients.arrives(nowMs);
            case Kinds.COMES -> clients.comes(nowMs, (ClientDemand) m.what);
            case Kinds.WAITED -> clients.waited(nowMs, (ClientRequest) m.what);
            case Kinds.RATE -> clients.rate(m.value);
            case Kinds.IMPATIENT -> clients.impatientUntil(nowMs + m.value);
            case Kinds.EARLY -> clients.giveUpShare(m.value);
            default -> hear(m);
        }
        settled();
    }

    /** What is not its clients' own affair. */
    protected abstract void hear(Message m);

    /** All that a message led to has been done. */
    protected void settled() {}

    protected final Counters tally() {
        return world.tallies[shardNumber()];
    }

    protected final void sendToMember(int member, int kind, Object what, double value) {
        EmulatedEndpoint m = world.members[member];
        send(world.cuts.backMs(site, m, sendMs()) + world.wayMs(site, m.site, random), m, kind, what, value);
    }

    /** When what this side sends now goes out. */
    protected double sendMs() {
        return nowMs;
    }

    final void remindSelf(double atMs, int kind, Object what) {
        remind(atMs, kind, what, 0);
    }

    /** A client goes on at some node, from a time on. */
    final void elsewhere(ClientDemand w, double atMs) {
        int to = random.nextInt(world.nodes.length);
        if (to == number) {
            remind(Math.max(nowMs, atMs), Kinds.COMES, w, 0);
        } else {
            send(Math.max(atMs, nowMs + world.scenario().network().minLatencyMs()), world.nodes[to], Kinds.COMES, w, 0);
        }
    }
}

package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.decision.api.Outcome;
import tulipshed.emulator.engine.Actor;
import tulipshed.emulator.invariants.NodeInvariants;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.policy.EndpointListDelivery;

/**
 * The simulation's side of a node, whether the node itself is emulated or a process of its own: it has the node's clients
 * and exchanges messages with endpoints. A handler that a kind of node does not override rejects its message.
 */
public abstract class NodeActor extends Actor<NodeMessage> {
    /** How long after a request's deadline an answer still counts, in milliseconds. */
    protected static final double SLACK_MS = 20;

    /** The node's number, from 0. */
    protected final int number;
    /** The name of the site where the node is. */
    protected final String site;
    /** The world that the node belongs to. */
    protected final World world;
    /** The node's random numbers. */
    protected final UniformRandomProvider random;
    /** The clients of the node. */
    protected final Clients clients;
    /** Virtual time in milliseconds. */
    protected double nowMs;

    /**
     * Creates a node with random numbers from the world's seed.
     *
     * @param id the actor's number
     * @param number the node's number, from 0
     */
    protected NodeActor(int id, int number, World world) {
        super(id);
        this.number = number;
        this.world = world;
        site = "s" + number % world.scenario().network().sites();
        random = RandomStreams.random(world.seed, id, 0);
        clients = new Clients(this, world, RandomStreams.random(world.seed, id, 1));
    }

    /** The day begins, with a list of endpoints from an earlier process. */
    protected abstract void begin(EndpointListDelivery list);

    /** Whether the front layer sends clients to it. */
    protected abstract boolean takes();

    /** A client sends a request, which is owed an answer within that time. */
    protected abstract void asked(ClientDemand demand, double graceMs);

    /** The deadline of a request and the slack are over; returns whether its client goes on without an answer. */
    protected abstract boolean unanswered(ClientRequest request);

    /** Adds a connection that is established when the day begins. */
    protected abstract EmulatedAttempt alreadyOpen(ClientDemand demand, int endpoint);

    /** Creates the invariants that a process of this node is held to. */
    protected final NodeInvariants newRules() {
        return newRules(0);
    }

    /** Creates the invariants with each time limit longer by that many milliseconds. */
    protected final NodeInvariants newRules(double longerMs) {
        return new NodeInvariants(
                number,
                tally().rules,
                SLACK_MS + longerMs,
                world.scenario().endpointModel().drainGraceMs() + longerMs);
    }

    @Override
    protected final void receive(double atMs, NodeMessage message) {
        nowMs = atMs;
        message.deliverTo(this);
        settled();
    }

    /** Called after each message has been handled. */
    protected void settled() {}

    /** An endpoint has established the connection of an attempt. */
    protected abstract void onAttemptUp(EmulatedAttempt attempt);

    /** An endpoint has ended an attempt or its connection. */
    protected abstract void onAttemptEnded(EmulatedAttempt attempt, Outcome outcome);

    /** Messages over an established connection take that many milliseconds. */
    protected abstract void onMessageDelay(EmulatedAttempt attempt, double delayMs);

    /** The process is to drain and exit, or is killed. */
    protected abstract void onStopProcess(boolean graceful);

    /** The next process of the node starts. */
    protected abstract void onStartProcess();

    /** An attempt whose endpoint is out of reach is given up. */
    protected void onAttemptTimedOut(EmulatedAttempt attempt) {
        throw unsupported("AttemptTimedOut");
    }

    /** The client of an established connection needs it no longer. */
    protected void onConnectionExpired(EmulatedAttempt attempt) {
        throw unsupported("ConnectionExpired");
    }

    /** The load of an established connection changes. */
    protected void onLoadChangeDue(EmulatedAttempt attempt) {
        throw unsupported("LoadChangeDue");
    }

    /** A client leaves before it is answered. */
    protected void onClientLeaves(ClientRequest request) {
        throw unsupported("ClientLeaves");
    }

    /** The client of an established connection is asked to reconnect. */
    protected void onMoveDue(ClientRequest request) {
        throw unsupported("MoveDue");
    }

    /** A missing answer would not count as late any more. */
    protected void onAnswerOverdue(ClientRequest request) {
        throw unsupported("AnswerOverdue");
    }

    /** An action of the policy is due, if the process is still of that generation. */
    protected void onPolicyTimer(int generation, Runnable action) {
        throw unsupported("PolicyTimer");
    }

    /** Discovery reports endpoints; the version is below 0 where the call failed. */
    protected void onEndpointList(EndpointListDelivery batch, int version) {
        throw unsupported("EndpointList");
    }

    /** A part of the network is out of reach from now on. */
    protected void onNetworkPartitioned() {
        throw unsupported("NetworkPartitioned");
    }

    /** The process reads its configuration again. */
    protected void onReloadConfiguration() {
        throw unsupported("ReloadConfiguration");
    }

    /** The time that a draining process of that generation has is over. */
    protected void onDrainOver(int generation) {
        throw unsupported("DrainOver");
    }

    /** The process stalls now and then for that many milliseconds. */
    protected void onStallsBegin(double durationMs) {
        throw unsupported("StallsBegin");
    }

    /** A stall of the process is over. */
    protected void onStallOver() {
        throw unsupported("StallOver");
    }

    /** The process gets a signal. */
    protected void onSignal(ProcessSignal signal) {
        throw unsupported("signal-nodes");
    }

    /** The process hands over to a new one. */
    protected void onHotRestart() {
        throw unsupported("HotRestart");
    }

    private static IllegalArgumentException unsupported(String message) {
        return new IllegalArgumentException("a node of this kind cannot have the fault " + message);
    }

    /** The counters of the thread that runs this node. */
    protected final Counters tally() {
        return world.tallies[shardNumber()];
    }

    /** Asks the attempt's endpoint for a connection. */
    protected final void sendDial(EmulatedAttempt attempt) {
        sendToEndpoint(attempt.endpoint, new EndpointMessage.Dial(attempt));
    }

    /** Closes this side of an attempt or of its connection. */
    protected final void sendHangup(EmulatedAttempt attempt) {
        sendToEndpoint(attempt.endpoint, new EndpointMessage.Hangup(attempt));
    }

    final void sendToEndpoint(int endpoint, EndpointMessage message) {
        EmulatedEndpoint receiver = world.members[endpoint];
        double departureMs = world.cuts.backMs(site, receiver, sendMs());
        send(departureMs + world.wayMs(site, receiver.site, random), receiver, message);
    }

    /** When what the node sends now leaves it, in virtual milliseconds. */
    protected double sendMs() {
        return nowMs;
    }

    final void scheduleSelf(double deliveryMs, NodeMessage message) {
        schedule(deliveryMs, message);
    }

    /** A client goes on at some node, from a time on. */
    final void elsewhere(ClientDemand demand, double atMs) {
        int to = random.nextInt(world.nodes.length);
        NodeMessage message = new ClientMessage.ClientReturns(demand);
        if (to == number) {
            schedule(Math.max(nowMs, atMs), message);
        } else {
            send(Math.max(atMs, nowMs + world.scenario().network().minLatencyMs()), world.nodes[to], message);
        }
    }
}

package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.List;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.Outcome;
import tulipshed.emulator.invariants.NodeInvariants;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.policy.EndpointListDelivery;
import tulipshed.emulator.policy.EndpointListing;
import tulipshed.emulator.policy.GroundTruth;
import tulipshed.emulator.policy.HotRestart;
import tulipshed.emulator.policy.Policy;
import tulipshed.emulator.policy.PolicyHost;
import tulipshed.emulator.scenario.Scenario;

/** A node: the policy that decides, what the node does about it, and the checkers that watch. Its clients are in {@link Clients}. */
final class EmulatedNode extends NodeActor implements PolicyHost {
    private static final double SILENT_MS = 2000; // until a client gives up a way that says nothing
    private static final double LATE_MS = 500; // after a client's wait an answer is late; later it is none

    private final List<ClientRequest> tries = new ArrayList<>();
    private final NotifiedEndpoints known;
    private final ProcessStalls holdUps;
    private final boolean isHotRestarted;
    private Policy policy;
    private NodeInvariants rules;
    private int generation;
    private boolean up = true;
    private boolean taking = true;
    private long lastTry;

    EmulatedNode(int id, int number, World world) {
        super(id, number, world);
        known = new NotifiedEndpoints(world.atStart);
        holdUps = new ProcessStalls(RandomStreams.random(world.seed, id, 2));
        isHotRestarted = world.scenario.faults().stream().anyMatch(t -> t.kind().equals("hot-restart-nodes"));
    }

    @Override
    protected void begin(EndpointListDelivery list) {
        start(list);
        clients.next(0);
    }

    private void start(EndpointListDelivery list) {
        rules = newRules();
        rules.allowStall(holdUps.excusesUntilMs(), ProcessStalls.LONGEST_MS);
        policy = isHotRestarted ? new HotRestart(this, world.policies) : world.policies.apply(this);
        policy.runReadyTasks();
        EndpointListDelivery cached = new EndpointListDelivery(EndpointListKind.CACHED, list.listings());
        told(cached);
        hears(cached);
        if (world.scenario.discovery().pushed()) {
            // The node's own network code asks the agent, without the module's word.
            watchEndpoints();
        }
    }

    @Override
    protected void onPolicyTimer(int timerGeneration, Runnable action) {
        turn(() -> {
            if (timerGeneration == generation) {
                action.run();
            }
        });
    }

    @Override
    protected void onAttemptUp(EmulatedAttempt attempt) {
        turn(() -> up(attempt));
    }

    @Override
    protected void onAttemptEnded(EmulatedAttempt attempt, Outcome outcome) {
        turn(() -> ended(attempt, outcome));
    }

    @Override
    protected void onAttemptTimedOut(EmulatedAttempt attempt) {
        closes(attempt);
        turn(() -> ended(attempt, Outcome.RESET));
    }

    @Override
    protected void onMessageDelay(EmulatedAttempt attempt, double delayMs) {
        turn(() -> delayed(attempt, delayMs));
    }

    @Override
    protected void onConnectionExpired(EmulatedAttempt attempt) {
        turn(() -> lifeOver(attempt));
    }

    @Override
    protected void onLoadChangeDue(EmulatedAttempt attempt) {
        turn(() -> loadChanges(attempt));
    }

    @Override
    protected void onMoveDue(ClientRequest request) {
        turn(() -> sendAway(request));
    }

    @Override
    protected void onReloadConfiguration() {
        turn(this::reload);
    }

    @Override
    protected void onHotRestart() {
        turn(this::hotRestart);
    }

    @Override
    protected void onStallsBegin(double durationMs) {
        holdUps.begin(nowMs, durationMs);
        rules.allowStall(holdUps.excusesUntilMs(), ProcessStalls.LONGEST_MS);
    }

    @Override
    protected void onStallOver() {
        holdUps.resume(nowMs, this::settled);
    }

    @Override
    protected void settled() {
        if (up && !holdUps.isHeld(nowMs)) {
            policy.runReadyTasks();
        }
    }

    // ---- Turns of the process ----

    /** What the process does once it is not held up. */
    private void turn(Runnable what) {
        if (holdUps.isHeld(nowMs)) {
            holdUps.waits(() -> turn(what));
            return;
        }
        what.run();
        if (up && holdUps.isHeld(nowMs)) {
            // All that it leads to belongs to the turn that is held up.
            policy.runReadyTasks();
        }
    }

    /** When what the present turn writes goes out; the first that it writes may find it held up. */
    private double writeMs() {
        if (holdUps.strikes(nowMs)) {
            tell(null, "is held up until " + holdUps.writtenMs(nowMs));
            schedule(holdUps.writtenMs(nowMs), new ProcessMessage.StallOver());
        }
        return holdUps.writtenMs(nowMs);
    }

    @Override
    protected double sendMs() {
        return holdUps.writtenMs(nowMs);
    }

    private void tell(ClientRequest t, String what) {
        if (world.tells(nowMs)) {
            world.tell(nowMs, "n-" + number + (t == null ? "" : ", n-" + number + "/" + t.id) + ": " + what);
        }
    }

    private String at(EmulatedAttempt f) {
        return world.members[f.endpoint].name;
    }

    // ---- Clients ----

    @Override
    protected boolean takes() {
        return up && taking;
    }

    /** A client asks here; the policy owes it an answer. */
    @Override
    protected void asked(ClientDemand w, double graceMs) {
        ClientRequest t = new ClientRequest(
                ++lastTry, w, nowMs, nowMs + graceMs, rules.requestArrived(nowMs, lastTry, nowMs + graceMs));
        keep(t);
        tell(
                t,
                "a client asks, try " + w.requestCount + (w.reconnecting ? ", back after a break or a move" : "")
                        + ", waits " + Math.round(graceMs) + " ms");
        schedule(t.deadlineMs + SLACK_MS + 1, new ClientMessage.AnswerDue(t));
        if (random.nextDouble() < clients.earlyLeaveShare()) {
            schedule(nowMs + graceMs * random.nextDouble(), new AttemptMessage.ClientLeaves(t));
        }
        turn(() -> {
            if (t.indexAtNode >= 0) {
                t.received = true;
                policy.requestArrived(t);
            }
        });
    }

    private void keep(ClientRequest t) {
        t.indexAtNode = tries.size();
        tries.add(t);
    }

    private void forget(ClientRequest t) {
        if (t.indexAtNode >= 0) {
            ClientRequest last = tries.remove(tries.size() - 1);
            if (last != t) {
                tries.set(t.indexAtNode, last);
                last.indexAtNode = t.indexAtNode;
            }
            t.indexAtNode = -1;
        }
    }

    /** A connection that stands when the day begins. */
    @Override
    protected EmulatedAttempt alreadyOpen(ClientDemand w, int member) {
        ClientRequest t = new ClientRequest(++lastTry, w, 0, 0, rules.requestArrived(0, lastTry, 0));
        keep(t);
        EmulatedAttempt f = new EmulatedAttempt(t, member, 0, Double.NaN, this);
        t.attempt = f;
        t.attemptCount = 1;
        rules.attemptStarted(0, t.observed, member);
        rules.answered(0, t.observed, "served");
        policy.connectionAdopted(t, f);
        stands(f);
        return f;
    }

    private void stands(EmulatedAttempt f) {
        schedule(Math.max(nowMs, f.request.demand.wantedUntilMs), new AttemptMessage.ConnectionExpired(f));
        double changes = world.scenario.clients().loadChangesPerSecond();
        if (changes > 0) {
            schedule(nowMs + RandomStreams.exponential(random, 1000 / changes), new AttemptMessage.LoadChangeDue(f));
        }
    }

    @Override
    protected void onClientLeaves(ClientRequest t) {
        if (t.answerPending && t.indexAtNode >= 0) {
            tell(t, "the client leaves before it is answered");
            rules.clientLeft(t.observed);
            clients.leavesForGood();
            if (holdUps.isHeld(nowMs)) {
                forget(t);
                holdUps.waitsFirst(() -> hasLeft(t));
            } else {
                hasLeft(t);
            }
        }
    }

    private void hasLeft(ClientRequest t) {
        if (t.received) {
            policy.requestCancelled(t);
            policy.runReadyTasks();
        }
        over(t);
    }

    /**
     * The client's wait and the slack are over; where nothing was heard the client goes on. An answer is still looked out
     * for over a while: late and never are two breaches.
     */
    @Override
    protected boolean unanswered(ClientRequest t) {
        if (t.indexAtNode < 0 || t.established || t.observed.answered()) {
            return false;
        }
        t.clientTimedOut = true;
        schedule(t.deadlineMs + LATE_MS, new AttemptMessage.AnswerOverdue(t));
        return true;
    }

    @Override
    protected void onAnswerOverdue(ClientRequest t) {
        rules.waitEnded(nowMs, t.observed);
        turn(() -> {
            if (t.indexAtNode >= 0 && !t.established) {
                hasLeft(t);
            }
        });
    }

    private void over(ClientRequest t) {
        forget(t);
        if (t.attempt != null) {
            cancel(t.attempt);
        }
    }

    // ---- Flows ----

    private void closes(EmulatedAttempt f) {
        sendHangup(f);
    }

    private void up(EmulatedAttempt f) {
        ClientRequest t = f.request;
        if (t.indexAtNode < 0 || f.ended || !policy.attemptEstablished(f)) {
            closes(f);
            return;
        }
        tell(t, "served by " + at(f) + " after " + Math.round(nowMs - f.sentMs) + " ms");
        double answeredMs = writeMs();
        rules.answered(answeredMs, t.observed, "served");
        if (t.clientTimedOut) {
            lifeOver(f);
            return;
        }
        clients.served(answeredMs, t);
        stands(f);
    }

    private void ended(EmulatedAttempt f, Outcome outcome) {
        ClientRequest t = f.request;
        if (t.indexAtNode < 0 || f.ended) {
            return;
        }
        boolean stood = t.established;
        tell(t, (t.established ? "the connection at " : "the flow to ") + at(f) + " ends: " + outcome);
        f.ended = true;
        t.attempt = null;
        rules.attemptEnded(nowMs, t.observed, outcome.name());
        if (stood) {
            forget(t);
        }
        policy.attemptEnded(f, outcome);
        policy.runReadyTasks();
        if (stood) {
            clients.returns(nowMs, t);
        }
    }

    private void delayed(EmulatedAttempt f, double ms) {
        if (f.request.indexAtNode >= 0 && f.request.established && !f.ended) {
            tell(f.request, "messages at " + at(f) + " take " + Math.round(ms) + " ms");
            policy.latencyReported(f, ms);
        }
    }

    private void lifeOver(EmulatedAttempt f) {
        ClientRequest t = f.request;
        if (t.indexAtNode >= 0 && t.established && !f.ended) {
            f.ended = true;
            t.attempt = null;
            forget(t);
            closes(f);
            policy.attemptEnded(f, Outcome.OK);
        }
    }

    private void loadChanges(EmulatedAttempt f) {
        ClientRequest t = f.request;
        if (t.indexAtNode < 0 || !t.established || f.ended) {
            return;
        }
        t.demand.load = t.demand.usualLoad
                * RandomStreams.lognormal(random, world.scenario.clients().loadSwing());
        sendToEndpoint(f.endpoint, new EndpointMessage.LoadChanged(f, t.demand.load));
        if (world.scenario.clients().reportsLoad()) {
            policy.loadReported(f);
        }
        schedule(
                nowMs
                        + RandomStreams.exponential(
                                random, 1000 / world.scenario.clients().loadChangesPerSecond()),
                new AttemptMessage.LoadChangeDue(f));
    }

    // ---- The list ----

    @Override
    protected void onEndpointList(EndpointListDelivery batch, int version) {
        if (!up) {
            if (world.scenario.discovery().pushed()) {
                // What the agent has counts as told to the next process from its first moment.
                batch.listings().forEach(known::started);
            }
            return;
        }
        // Told when it is written, however late the process reads it.
        told(batch);
        if (version >= 0) {
            known.hear(batch, version);
        }
        turn(() -> hears(batch));
    }

    private void told(EndpointListDelivery batch) {
        for (EndpointListing n : batch.listings()) {
            rules.endpointNotified(nowMs, n.endpoint(), n.isServing());
            known.started(n);
        }
        known.missing(batch).forEach(m -> rules.endpointNotified(nowMs, m, false));
    }

    private void hears(EndpointListDelivery batch) {
        if (world.tells(nowMs)) {
            tell(
                    null,
                    "list, " + batch.kind() + ": "
                            + batch.listings().stream()
                                    .limit(20)
                                    .map(n -> n.entry().info().id() + " "
                                            + n.entry().info().status())
                                    .toList());
        }
        policy.endpointsChanged(batch);
        policy.runReadyTasks();
    }

    /** The node's configuration is read again: discovery is elsewhere from now on. */
    private void reload() {
        if (up) {
            tell(null, "reads its configuration again");
            known.anew();
            policy.reconfigure();
        }
    }

    // ---- Processes and the network ----

    @Override
    protected void onStopProcess(boolean politely) {
        if (!up) {
            return;
        }
        if (politely) {
            // The front layer sends it nothing more, and what stands is asked to come again over a time.
            taking = false;
            for (ClientRequest t : tries) {
                schedule(
                        nowMs + world.scenario.nodes().shutdownMs() * random.nextDouble(),
                        new AttemptMessage.MoveDue(t));
            }
            schedule(nowMs + world.scenario.nodes().shutdownMs() + 1, new ProcessMessage.DrainOver(generation));
            return;
        }
        ends();
    }

    /** The time of a process that was asked to leave is over: it owes an answer to all that are left, and ends. */
    @Override
    protected void onDrainOver(int process) {
        if (!up || process != generation) {
            return;
        }
        if (holdUps.isHeld(nowMs)) {
            holdUps.waits(() -> onDrainOver(process));
            return;
        }
        policy.shutDown(List.copyOf(tries));
        policy.runReadyTasks();
        for (ClientRequest t : tries) {
            if (t.answerPending) {
                rules.connectionClosed(writeMs(), t.observed);
            }
        }
        ends();
    }

    /** The process is gone, killed or in good order. */
    private void ends() {
        tell(null, "the process ends with " + tries.size() + " transactions");
        up = taking = false;
        generation++;
        holdUps.end();
        for (ClientRequest t : List.copyOf(tries)) {
            forget(t);
            EmulatedAttempt f = t.attempt;
            if (f != null) {
                f.ended = true;
                t.attempt = null;
                closes(f);
            }
            if (t.established && f != null) {
                tally().at(tally().resets, nowMs);
                clients.returns(nowMs, t);
            } else if (t.answerPending) {
                // Nobody answers for a process that was killed; one that left in good order has been judged.
                rules.clientLeft(t.observed);
                clients.again(
                        nowMs, t.demand, world.scenario.clients().reconnectDelayMs() * (0.5 + random.nextDouble()));
            }
        }
        schedule(nowMs + world.scenario.nodes().restartMs(), new ProcessMessage.StartProcess());
    }

    @Override
    protected void onStartProcess() {
        up = taking = true;
        tell(null, "the next process starts");
        start(known.remembered());
    }

    private void hotRestart() {
        if (up && taking) {
            tell(null, "hands over to another process");
            ((HotRestart) policy).begin(known.remembered());
        }
    }

    private void sendAway(ClientRequest t) {
        if (up && t.indexAtNode >= 0 && t.established) {
            migrate(t);
        }
    }

    /**
     * A part of the world is out of reach: what stands there is silent. This side notices after a while and gives it up, or
     * is reset once the way is back.
     */
    @Override
    protected void onNetworkPartitioned() {
        for (ClientRequest t : tries) {
            EmulatedAttempt f = t.attempt;
            double backMs = f == null ? nowMs : world.cuts.backMs(site, world.members[f.endpoint], nowMs);
            if (t.established && backMs > nowMs) {
                double noticed = nowMs + SILENT_MS * (0.5 + 0.5 * random.nextDouble());
                schedule(
                        Math.min(noticed, backMs + world.scenario.network().minLatencyMs()),
                        new AttemptMessage.AttemptTimedOut(f));
            }
        }
    }

    // ---- What the policy does ----

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public double clockMs() {
        return nowMs + world.nodeClockOffMs[number];
    }

    @Override
    public Scenario scenario() {
        return world.scenario;
    }

    @Override
    public int node() {
        return number;
    }

    @Override
    public long seed() {
        return RandomStreams.of(world.seed, id(), 100 + generation);
    }

    @Override
    public int endpointCount() {
        return world.members.length;
    }

    @Override
    public String endpointName(int member) {
        return world.members[member].name;
    }

    @Override
    public EmulatedAttempt startAttempt(ClientRequest t, int member) {
        EmulatedAttempt f = new EmulatedAttempt(t, member, nowMs, known.startedMs(member), this);
        t.attemptCount++;
        t.attempt = f;
        tell(t, "attempt " + t.attemptCount + " to " + at(f));
        double sentMs = writeMs();
        rules.attemptStarted(sentMs, t.observed, member);
        tally().at(tally().attempts, nowMs);
        double backMs = world.cuts.backMs(site, world.members[member], sentMs);
        if (backMs > sentMs) {
            // Never comes up; reset once the way is back, should anybody still wait.
            schedule(backMs + world.scenario.network().minLatencyMs(), new AttemptMessage.AttemptTimedOut(f));
        } else {
            sendDial(f);
        }
        return f;
    }

    @Override
    public void cancel(EmulatedAttempt f) {
        if (f.ended) {
            return;
        }
        f.ended = true;
        if (f.request.attempt == f) {
            f.request.attempt = null;
        }
        rules.attemptEnded(nowMs, f.request.observed, "given up");
        closes(f);
    }

    @Override
    public void reject(ClientRequest t, double retryAfterMs) {
        tell(t, "refused, to come again in " + Math.round(retryAfterMs) + " ms");
        turnedAway(t, "refused", tally().refused, retryAfterMs);
    }

    @Override
    public void fail(ClientRequest t) {
        tell(t, "failed");
        turnedAway(t, "failed", tally().failed, 0);
    }

    private void turnedAway(ClientRequest t, String how, long[] count, double retryAfterMs) {
        double answeredMs = writeMs();
        rules.answered(answeredMs, t.observed, how);
        if (t.indexAtNode < 0) {
            return;
        }
        tally().at(count, nowMs);
        forget(t);
        if (!t.clientTimedOut) {
            clients.refused(answeredMs, t, retryAfterMs);
        }
    }

    @Override
    public void migrate(ClientRequest t) {
        EmulatedAttempt f = t.attempt;
        if (t.indexAtNode < 0 || !t.established || f == null) {
            return;
        }
        f.ended = true;
        t.attempt = null;
        forget(t);
        tell(t, "moved off " + at(f));
        tally().at(tally().moves, nowMs);
        closes(f);
        clients.returns(nowMs, t);
        // Told after the action, as of anything else that has ended.
        schedule(0, () -> policy.attemptEnded(f, Outcome.OK));
    }

    @Override
    public void schedule(double ms, Runnable what) {
        schedule(nowMs + ms, new ProcessMessage.PolicyTimer(generation, what));
    }

    @Override
    public void watchEndpoints() {
        // An agent is on the node's own machine; what it is not told over a cut comes once the way is back.
        if (world.scenario.discovery().pushed() || world.cuts.backMs(site, world.discovery.site(), nowMs) <= nowMs) {
            send(
                    nowMs + world.wayToDiscovery(this),
                    world.discovery,
                    new DiscoveryMessage.ListCall(this, known.version()));
        } else {
            EndpointListDelivery failed = new EndpointListDelivery(EndpointListKind.FAILED, List.of());
            schedule(nowMs + SILENT_MS, new ProcessMessage.EndpointList(failed, -1));
        }
    }

    @Override
    public GroundTruth groundTruth(int member) {
        return world.members[member];
    }
}

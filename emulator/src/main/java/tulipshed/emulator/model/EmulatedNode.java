package tulipshed.emulator.model;

import tulipshed.decision.api.Outcome;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.policy.EndpointListDelivery;

/** An emulated node: hands each message to the part of the node that it concerns, as a turn of the process where it reads it. */
final class EmulatedNode extends NodeActor {
    private final RequestTable requests = new RequestTable();
    private final RequestHandler requestHandler;
    private final ConnectionHandler connections;
    private final NodeEndpointList endpointList;
    private final ProcessTurns turns;
    private final EmulatedProcess process;

    EmulatedNode(int id, int number, World world) {
        super(id, number, world);
        requestHandler = new RequestHandler(this);
        connections = new ConnectionHandler(this, world);
        endpointList = new NodeEndpointList(this, world);
        turns = new ProcessTurns(this, RandomStreams.random(world.seed, id, 2));
        process = new EmulatedProcess(this, world);
    }

    RequestTable requests() {
        return requests;
    }

    RequestHandler requestHandler() {
        return requestHandler;
    }

    ConnectionHandler connections() {
        return connections;
    }

    NodeEndpointList endpointList() {
        return endpointList;
    }

    ProcessTurns turns() {
        return turns;
    }

    EmulatedProcess process() {
        return process;
    }

    // ---- What the parts of the node share ----

    /** Reports an event to whoever listens to the world; the request is null where the event is the node's. */
    void log(ClientRequest request, String event) {
        if (world.tells(nowMs)) {
            String source = request == null ? "" : ", n-" + number + "/" + request.id;
            world.tell(nowMs, "n-" + number + source + ": " + event);
        }
    }

    String endpointName(EmulatedAttempt attempt) {
        return world.members[attempt.endpoint].name;
    }

    /** Runs a task of the policy after a delay, unless the process ends before. */
    void schedulePolicyTask(double delayMs, Runnable task) {
        schedule(nowMs + delayMs, new ProcessMessage.PolicyTimer(process.generation(), task));
    }

    /** Asks discovery for all changes since a version. */
    void sendListCall(int version) {
        send(nowMs + world.wayToDiscovery(this), world.discovery, new DiscoveryMessage.ListCall(this, version));
    }

    @Override
    protected double sendMs() {
        return turns.departureMs();
    }

    // ---- Clients ----

    @Override
    protected void begin(EndpointListDelivery list) {
        process.start(list);
        clients.next(0);
    }

    @Override
    protected boolean takes() {
        return process.acceptsClients();
    }

    @Override
    protected void asked(ClientDemand demand, double graceMs) {
        requestHandler.receive(demand, graceMs);
    }

    @Override
    protected boolean unanswered(ClientRequest request) {
        return requestHandler.timeOut(request);
    }

    @Override
    protected EmulatedAttempt alreadyOpen(ClientDemand demand, int endpoint) {
        return connections.adopt(demand, endpoint);
    }

    // ---- Messages ----

    @Override
    protected void settled() {
        turns.runReadyTasks();
    }

    @Override
    protected void onPolicyTimer(int generation, Runnable action) {
        turns.run(() -> {
            if (generation == process.generation()) {
                action.run();
            }
        });
    }

    @Override
    protected void onAttemptUp(EmulatedAttempt attempt) {
        turns.run(() -> connections.established(attempt));
    }

    @Override
    protected void onAttemptEnded(EmulatedAttempt attempt, Outcome outcome) {
        turns.run(() -> connections.ended(attempt, outcome));
    }

    @Override
    protected void onAttemptTimedOut(EmulatedAttempt attempt) {
        sendHangup(attempt);
        turns.run(() -> connections.ended(attempt, Outcome.RESET));
    }

    @Override
    protected void onMessageDelay(EmulatedAttempt attempt, double delayMs) {
        turns.run(() -> connections.delayed(attempt, delayMs));
    }

    @Override
    protected void onConnectionExpired(EmulatedAttempt attempt) {
        turns.run(() -> connections.expired(attempt));
    }

    @Override
    protected void onLoadChangeDue(EmulatedAttempt attempt) {
        turns.run(() -> connections.changeLoad(attempt));
    }

    @Override
    protected void onClientLeaves(ClientRequest request) {
        requestHandler.clientLeaves(request);
    }

    @Override
    protected void onAnswerOverdue(ClientRequest request) {
        requestHandler.answerOverdue(request);
    }

    @Override
    protected void onMoveDue(ClientRequest request) {
        turns.run(() -> process.moveClient(request));
    }

    @Override
    protected void onEndpointList(EndpointListDelivery delivery, int version) {
        endpointList.receive(delivery, version);
    }

    @Override
    protected void onStopProcess(boolean graceful) {
        process.stop(graceful);
    }

    @Override
    protected void onStartProcess() {
        process.restart();
    }

    @Override
    protected void onDrainOver(int generation) {
        process.drainOver(generation);
    }

    @Override
    protected void onNetworkPartitioned() {
        connections.networkPartitioned();
    }

    @Override
    protected void onReloadConfiguration() {
        turns.run(process::reloadConfiguration);
    }

    @Override
    protected void onHotRestart() {
        turns.run(process::hotRestart);
    }

    @Override
    protected void onStallsBegin(double durationMs) {
        turns.beginStalls(durationMs);
    }

    @Override
    protected void onStallOver() {
        turns.resume();
    }
}

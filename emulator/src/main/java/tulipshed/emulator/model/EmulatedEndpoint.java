package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.decision.api.Outcome;
import tulipshed.emulator.engine.Actor;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.policy.GroundTruth;
import tulipshed.emulator.policy.PolicyFactory;
import tulipshed.emulator.scenario.EndpointModel;
import tulipshed.emulator.scenario.EndpointType;
import tulipshed.emulator.scenario.Scenario;

/**
 * An emulated endpoint: set-ups wait for its cores in order of arrival; established connections need capacity all the time,
 * and where that is more than it has, work piles up and messages take long (docs/emulator-design.md gives the model).
 */
final class EmulatedEndpoint extends Actor<EndpointMessage> implements GroundTruth {
    /** The share of an endpoint that is left for set-ups however full it is. */
    static final double LEAST_FREE_SHARE = 0.05;

    private static final double TICK_MS = 150;
    private static final double REPORT_INTERVAL_MS = 1000;
    /** After which time at most a client notices that an endpoint is silent. */
    private static final double SILENCE_TIMEOUT_MS = 2000;

    final int number;
    final String name;
    final String site;
    final EndpointType kind;
    /** Load over capacity in each second of the day; NaN while no process runs. */
    final float[] loadBySecond;

    private final World world;
    private final EndpointModel model;
    private final UniformRandomProvider random;
    private final EndpointCapacity capacity;
    private final SetupQueue setups;
    private final EstablishedLoad established;
    private final MessageTimes messageTimes;
    private final SlowStartAccounting slowStart;
    private final DelayReports delayReports;
    private final EndpointFaults faults;
    private final EndpointHistory history;
    private final double connectionLimit;
    private final double[] committedLoad = new double[1];
    private int generation;
    private boolean alive;
    private boolean resets;
    private double pausedUntilMs;
    private double tickedMs;
    private double accountedMs;
    private double reportedMs;

    EmulatedEndpoint(int id, int number, EndpointType kind, World world) {
        super(id);
        this.number = number;
        this.kind = kind;
        this.world = world;
        Scenario scenario = world.scenario;
        model = scenario.endpointModel();
        name = "m-" + number;
        site = "s" + number % scenario.network().sites();
        random = RandomStreams.random(world.seed, id, 0);
        double usualLoad = EndpointCapacity.usualLoad(scenario);
        connectionLimit = usualLoad > 0
                ? model.connectionLimitFactor() * kind.cores() * kind.speed() / usualLoad
                : Double.MAX_VALUE;
        capacity = new EndpointCapacity(kind, model);
        setups = new SetupQueue(kind.cores(), model.queuePerCore());
        established = new EstablishedLoad(
                scenario.requestClasses().size(), scenario.tenants().size(), model.groupLoad());
        messageTimes = new MessageTimes(scenario, kind);
        slowStart = new SlowStartAccounting(number, scenario, capacity, usualLoad);
        delayReports = new DelayReports(scenario);
        faults = new EndpointFaults(random);
        history = PolicyFactory.readsHistory(scenario.policy()) ? new EndpointHistory() : null;
        loadBySecond = new float[(int) Math.ceil(scenario.durationMs() / 1000) + 1];
    }

    /** The day begins; a process that runs has long been warm. */
    void begin(boolean running) {
        alive = running;
        schedule(TICK_MS * random.nextDouble(), new EndpointMessage.Tick());
    }

    /** Adds a connection that is established when the day begins. */
    void adopt(EmulatedAttempt connection) {
        established.add(connection);
    }

    private Counters counters() {
        return world.tallies[shardNumber()];
    }

    private void log(double nowMs, String event) {
        if (world.tells(nowMs)) {
            world.tell(nowMs, name + ": " + event);
        }
    }

    @Override
    public boolean alive() {
        return alive;
    }

    @Override
    public double capacity() {
        return capacity.total(tickedMs);
    }

    @Override
    public double load() {
        return established.cores();
    }

    @Override
    public double backlogMs() {
        return messageTimes.backlogMs();
    }

    @Override
    public double strain() {
        return slowStart.strain(tickedMs);
    }

    @Override
    public double[] committedLoad() {
        return committedLoad;
    }

    @Override
    public boolean holdsGroup(int group) {
        return established.holds(group);
    }

    @Override
    public GroundTruth at(double atMs) {
        return history == null ? this : history.at(atMs, this);
    }

    @Override
    protected void receive(double nowMs, EndpointMessage message) {
        message.deliverTo(this, nowMs);
    }

    void onLoadChanged(EmulatedAttempt attempt, double cores) {
        established.load(attempt, cores);
    }

    void onSlowdown(double factor) {
        capacity.slowDown(factor);
    }

    void onPause(double nowMs, double durationMs) {
        account(nowMs);
        pausedUntilMs = Math.max(pausedUntilMs, nowMs + durationMs);
    }

    void onFaultShare(EndpointFaults.Fate fate, double share) {
        faults.share(fate, share);
    }

    void onSilenceNoticed(double nowMs, EmulatedAttempt attempt) {
        end(nowMs, attempt, Outcome.RESET);
    }

    // ---- Connections ----

    private void sendToNode(double nowMs, EmulatedAttempt attempt, NodeMessage message) {
        NodeActor node = (NodeActor) attempt.source;
        double departureMs = world.cuts.backMs(node.site, this, nowMs);
        send(departureMs + world.wayMs(site, node.site, random), node, message);
    }

    private void end(double nowMs, EmulatedAttempt attempt, Outcome outcome) {
        sendToNode(nowMs, attempt, new AttemptMessage.AttemptEnded(attempt, outcome));
    }

    void onDial(double nowMs, EmulatedAttempt attempt) {
        if (!alive) {
            if (resets) {
                end(nowMs, attempt, Outcome.CONNECT_FAILED);
            }
            return;
        }
        if (faults.error()) {
            accountSlowStart(nowMs, attempt);
            end(nowMs, attempt, alive ? Outcome.ERROR : Outcome.RESET);
            return;
        }
        double workMs = model.exponentialSetup() ? RandomStreams.exponential(random, model.setupMs()) : model.setupMs();
        accountSlowStart(nowMs, attempt);
        if (!alive) {
            end(nowMs, attempt, Outcome.RESET);
            return;
        }
        if (setups.isFull() || established.size() >= connectionLimit) {
            end(nowMs, attempt, Outcome.FULL);
            return;
        }
        startSetup(nowMs, attempt, workMs);
    }

    private void startSetup(double nowMs, EmulatedAttempt attempt, double workMs) {
        setups.add(workMs);
        double able = capacity.underLoad(nowMs, established.cores());
        double coreSpeed = able / kind.cores() * Math.max(LEAST_FREE_SHARE, 1 - established.cores() / able);
        double startMs = setups.nextStartMs(Math.max(nowMs + messageTimes.backlogMs(), pausedUntilMs));
        double doneMs = setups.occupy(startMs, workMs / coreSpeed);
        counters().waitUs.recordValue(Math.round((startMs - nowMs) * 1000));
        schedule(doneMs, new EndpointMessage.SetupDone(attempt, generation));
    }

    void onSetupDone(double nowMs, EmulatedAttempt attempt, int setupGeneration) {
        if (setupGeneration != generation) {
            if (resets) {
                end(nowMs, attempt, Outcome.RESET);
            }
            return;
        }
        // Set up while its node is out of reach, it is established once the node is back, if it is still wanted.
        double reachableMs = world.cuts.backMs(((NodeActor) attempt.source).site, this, nowMs);
        double untilMs = Math.max(pausedUntilMs, reachableMs);
        if (nowMs < untilMs) {
            schedule(untilMs, new EndpointMessage.SetupDone(attempt, setupGeneration));
            return;
        }
        setups.remove();
        committedLoad[0] = Math.max(0, committedLoad[0] - attempt.load);
        if (attempt.cancelled) {
            return;
        }
        account(nowMs);
        switch (faults.answer()) {
            case ANSWER_LOST -> {}
            case ANSWER_SPOILT -> end(nowMs, attempt, Outcome.ERROR);
            case RESET -> end(nowMs, attempt, Outcome.RESET);
            default -> {
                established.add(attempt);
                sendToNode(nowMs, attempt, new AttemptMessage.AttemptUp(attempt));
            }
        }
    }

    void onHangup(double nowMs, EmulatedAttempt attempt) {
        attempt.cancelled = true;
        if (attempt.indexAtEndpoint >= 0) {
            account(nowMs);
            established.remove(attempt);
        }
    }

    /** Counts what was established since the last call, served as well as messages were. */
    private void account(double nowMs) {
        double passedMs = nowMs - accountedMs;
        accountedMs = nowMs;
        if (established.isEmpty() || passedMs <= 0) {
            return;
        }
        boolean isServing = alive && nowMs >= pausedUntilMs;
        established.count(counters(), nowMs, passedMs, isServing ? messageTimes.inTimeShares() : null);
    }

    private void accountSlowStart(double nowMs, EmulatedAttempt attempt) {
        if (!slowStart.receive(nowMs, attempt, counters())) {
            return;
        }
        log(nowMs, "pushed over " + Math.round(slowStart.ageMs(nowMs)) + " ms after its start");
        counters().felt++;
        slowStart.reportFailure(nowMs, counters().rules);
        onProcessEnds(nowMs, true);
        send(nowMs + world.wayToDiscovery(this), world.discovery, new DiscoveryMessage.EndpointFailed(number));
    }

    void onTick(double nowMs) {
        schedule(nowMs + TICK_MS, new EndpointMessage.Tick());
        account(nowMs);
        double passedMs = nowMs - tickedMs;
        long[] queueLengths = counters().queue;
        queueLengths[Math.min(queueLengths.length - 1, setups.pending())]++;
        double able = capacity.underLoad(nowMs, established.cores());
        double setupWorkMs = setups.takeWorkMs();
        double busy = (established.cores() + (passedMs > 0 ? setupWorkMs / passedMs : 0)) / able;
        messageTimes.update(passedMs, established.cores() / able, busy, capacity.warmth(nowMs), capacity.slowdown());
        tickedMs = nowMs;
        int second = Math.min(loadBySecond.length - 1, (int) (nowMs / 1000));
        loadBySecond[second] = alive ? (float) (established.cores() / capacity()) : Float.NaN;
        if (history != null) {
            history.note(nowMs, this);
        }
        if (alive && nowMs - reportedMs >= REPORT_INTERVAL_MS && nowMs >= pausedUntilMs) {
            report(nowMs);
        }
    }

    /** Reports how long messages take, and closes some connections where the endpoint is far behind. */
    private void report(double nowMs) {
        reportedMs = nowMs;
        log(
                nowMs,
                established.size() + " connections, load " + Math.round(established.cores() * 100) / 100.0 + " of "
                        + Math.round(capacity() * 100) / 100.0 + " cores, " + Math.round(messageTimes.backlogMs())
                        + " ms of work piled up");
        double delayMs = messageTimes.delayMs() + Math.max(0, pausedUntilMs - nowMs);
        if (delayReports.begin(delayMs)) {
            for (EmulatedAttempt connection : established.flows()) {
                if (delayReports.isFirstOfNode(connection)) {
                    sendToNode(nowMs, connection, new AttemptMessage.MessageDelay(connection, delayMs));
                }
            }
        }
        if (messageTimes.backlogMs() > model.resetBacklogMs()) {
            shedLoad(nowMs);
        }
    }

    /** Resets a share of the connections, those of the most load first. */
    private void shedLoad(double nowMs) {
        int count = (int) Math.ceil(established.size() * model.resetShare());
        established.heaviest(count).forEach(connection -> close(nowMs, connection, Outcome.RESET));
        messageTimes.scaleBacklog(1 - model.resetShare());
    }

    private void close(double nowMs, EmulatedAttempt connection, Outcome outcome) {
        account(nowMs);
        established.remove(connection);
        counters().at(outcome == Outcome.RESET ? counters().resets : counters().moves, nowMs);
        end(nowMs, connection, outcome);
    }

    // ---- Processes and the network ----

    /** Connections to a part of the network that is out of reach end; their nodes notice by themselves. */
    void onPartitionBegan(double nowMs) {
        account(nowMs);
        for (int i = established.size() - 1; i >= 0; i--) {
            EmulatedAttempt connection = established.get(i);
            if (world.cuts.backMs(((NodeActor) connection.source).site, this, nowMs) > nowMs) {
                established.remove(connection);
                counters().at(counters().resets, nowMs);
            }
        }
    }

    /** A drain is over: connections are closed in good order, and the process ends. */
    void onDrainOver(double nowMs) {
        if (!alive) {
            return;
        }
        while (!established.isEmpty()) {
            close(nowMs, established.get(established.size() - 1), Outcome.OK);
        }
        onProcessEnds(nowMs, true);
    }

    void onProcessEnds(double nowMs, boolean withReset) {
        if (!alive) {
            return;
        }
        log(nowMs, "ends with " + established.size() + " connections" + (withReset ? "" : ", in silence"));
        resets = withReset;
        for (int i = established.size() - 1; i >= 0; i--) {
            EmulatedAttempt connection = established.get(i);
            if (withReset) {
                close(nowMs, connection, Outcome.RESET);
            } else {
                abandon(nowMs, connection);
            }
        }
        alive = false;
        generation++;
        setups.clear();
        messageTimes.clearBacklog();
        committedLoad[0] = 0;
    }

    /** Ends a connection without a word; its client notices by itself. */
    private void abandon(double nowMs, EmulatedAttempt connection) {
        account(nowMs);
        established.remove(connection);
        counters().at(counters().resets, nowMs);
        schedule(
                nowMs + SILENCE_TIMEOUT_MS * (0.5 + 0.5 * random.nextDouble()),
                new EndpointMessage.SilenceNoticed(connection));
    }

    void onProcessStarts(double nowMs) {
        log(nowMs, "a new process");
        alive = true;
        resets = true;
        capacity.restart(nowMs);
        slowStart.restart();
    }

    /** The day is over: what is established is counted up to now. */
    void end(double nowMs) {
        account(nowMs);
    }
}

package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.decision.api.Outcome;
import tulipshed.emulator.engine.Actor;
import tulipshed.emulator.invariants.SlowStartInvariant;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.policy.GroundTruth;
import tulipshed.emulator.policy.PolicyFactory;
import tulipshed.emulator.scenario.EndpointModel;
import tulipshed.emulator.scenario.EndpointType;
import tulipshed.emulator.scenario.RequestClassSettings;

/**
 * A pool member: set-ups wait for its cores in order of arrival; standing connections ask for work that goes on, and where
 * that is more than it can do, work piles up and messages take long (docs/emulator-design.md gives the model).
 */
final class EmulatedEndpoint extends Actor<EndpointMessage> implements GroundTruth {
    private static final double TICK_MS = 150;
    private static final double NOTE_MS = 1000;
    private static final double SILENT_MS = 2000; // until a client gives up a member that says nothing
    private static final double LEAST_FREE = 0.05; // of a member, left for what is new however full it is

    final int number;
    final String name;
    final String site;
    final EndpointType kind;
    final float[] loadBySecond;
    private final World world;
    private final EndpointModel model;
    private final UniformRandomProvider random;
    private final SlowStartInvariant cold;
    private final double noteFromMs;
    private final EstablishedLoad standing;
    private final EndpointFaults faults;
    private final EndpointHistory past;
    private final double[] freeAtMs;
    private final double[] inTime;
    private final double cap;
    private final double[] promised = new double[1];
    private int pending;
    private int generation;
    private boolean alive;
    private boolean resets;
    private double startedMs;
    private double slower = 1;
    private double pausedUntilMs;
    private double backlogMs;
    private double messageMs;
    private double tickedMs;
    private double setupWorkMs;
    private double countedMs;
    private double notedMs;
    private boolean noted;
    private final Set<Integer> noticed = new HashSet<>();

    EmulatedEndpoint(int id, int number, EndpointType kind, World world) {
        super(id);
        this.number = number;
        this.kind = kind;
        this.world = world;
        model = world.scenario.endpointModel();
        name = "m-" + number;
        site = "s" + number % world.scenario.network().sites();
        random = RandomStreams.random(world.seed, id, 0);
        int classes = world.scenario.requestClasses().size();
        double shares = world.scenario.requestClasses().stream()
                .mapToDouble(RequestClassSettings::share)
                .sum();
        double usual = world.scenario.requestClasses().stream()
                .mapToDouble(c -> c.share() / shares * c.load())
                .sum();
        cold = new SlowStartInvariant(number, model.overloadFactor(), model.overloadWindowMs(), usual);
        cap = usual > 0 ? model.connectionLimitFactor() * kind.cores() * kind.speed() / usual : Double.MAX_VALUE;
        freeAtMs = new double[kind.cores()];
        standing = new EstablishedLoad(classes, world.scenario.tenants().size(), model.groupLoad());
        faults = new EndpointFaults(random);
        past = PolicyFactory.readsHistory(world.scenario.policy()) ? new EndpointHistory() : null;
        inTime = new double[classes];
        loadBySecond = new float[(int) Math.ceil(world.scenario.durationMs() / 1000) + 1];
        noteFromMs = world.scenario.requestClasses().stream()
                        .mapToDouble(RequestClassSettings::messageObjectiveMs)
                        .min()
                        .orElse(60)
                / 3;
        messageMs = model.messageMs() / kind.speed();
        inTime(0);
    }

    /** The day begins with it running, warm where it has long run. */
    void begin(boolean running) {
        alive = running;
        schedule(TICK_MS * random.nextDouble(), new EndpointMessage.Tick());
    }

    /** A connection that stands when the day begins. */
    void holds(EmulatedAttempt f) {
        standing.add(f);
    }

    private Counters tally() {
        return world.tallies[shardNumber()];
    }

    private void say(double nowMs, String what) {
        if (world.tells(nowMs)) {
            world.tell(nowMs, name + ": " + what);
        }
    }

    // ---- How it is ----

    private double warm(double nowMs) {
        return startedMs == 0 || model.slowStartMs() <= 0
                ? 1
                : Math.min(
                        1,
                        model.slowStartShare()
                                + (1 - model.slowStartShare()) * (nowMs - startedMs) / model.slowStartMs());
    }

    private boolean cold(double nowMs) {
        return startedMs > 0 && nowMs - startedMs < model.slowStartMs();
    }

    private double capacity(double nowMs) {
        return kind.cores() * kind.speed() * warm(nowMs) / slower;
    }

    private double able(double nowMs) {
        double able = capacity(nowMs);
        double over = standing.cores() / able - 1;
        return over > 0 ? able / (1 + model.contention() * over) : able;
    }

    @Override
    public boolean alive() {
        return alive;
    }

    @Override
    public double capacity() {
        return capacity(tickedMs);
    }

    @Override
    public double load() {
        return standing.cores();
    }

    @Override
    public double backlogMs() {
        return backlogMs;
    }

    @Override
    public double strain() {
        return cold(tickedMs) ? cold.strain() : 0;
    }

    @Override
    public double[] committedLoad() {
        return promised;
    }

    @Override
    public boolean holdsGroup(int group) {
        return standing.holds(group);
    }

    @Override
    public GroundTruth at(double ms) {
        return past == null ? this : past.at(ms, this);
    }

    @Override
    protected void receive(double nowMs, EndpointMessage message) {
        message.deliverTo(this, nowMs);
    }

    void onLoadChanged(EmulatedAttempt attempt, double cores) {
        standing.load(attempt, cores);
    }

    void onSlowdown(double factor) {
        slower = factor;
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

    private void tell(double nowMs, EmulatedAttempt f, NodeMessage message) {
        NodeActor node = (NodeActor) f.source;
        send(world.cuts.backMs(node.site, this, nowMs) + world.wayMs(site, node.site, random), node, message);
    }

    private void end(double nowMs, EmulatedAttempt f, Outcome outcome) {
        tell(nowMs, f, new AttemptMessage.AttemptEnded(f, outcome));
    }

    void onDial(double nowMs, EmulatedAttempt f) {
        if (!alive) {
            if (resets) {
                end(nowMs, f, Outcome.CONNECT_FAILED);
            }
            return;
        }
        if (faults.error()) {
            push(nowMs, f);
            end(nowMs, f, alive ? Outcome.ERROR : Outcome.RESET);
            return;
        }
        double work = model.exponentialSetup() ? RandomStreams.exponential(random, model.setupMs()) : model.setupMs();
        push(nowMs, f);
        if (!alive) {
            end(nowMs, f, Outcome.RESET);
            return;
        }
        if (pending >= model.queuePerCore() * kind.cores() || standing.size() >= cap) {
            end(nowMs, f, Outcome.FULL);
            return;
        }
        pending++;
        setupWorkMs += work;
        int core = 0;
        for (int i = 1; i < freeAtMs.length; i++) {
            core = freeAtMs[i] < freeAtMs[core] ? i : core;
        }
        double able = able(nowMs);
        double each = able / kind.cores() * Math.max(LEAST_FREE, 1 - standing.cores() / able);
        double start = Math.max(Math.max(nowMs + backlogMs, pausedUntilMs), freeAtMs[core]);
        freeAtMs[core] = start + work / each;
        tally().waitUs.recordValue(Math.round((start - nowMs) * 1000));
        schedule(freeAtMs[core], new EndpointMessage.SetupDone(f, generation));
    }

    void onSetupDone(double nowMs, EmulatedAttempt f, int of) {
        if (of != generation) {
            if (resets) {
                end(nowMs, f, Outcome.RESET);
            }
            return;
        }
        // Set up while nobody could hear of it, it stands once the way is back, if it is still wanted.
        double until = Math.max(pausedUntilMs, world.cuts.backMs(((NodeActor) f.source).site, this, nowMs));
        if (nowMs < until) {
            schedule(until, new EndpointMessage.SetupDone(f, of));
            return;
        }
        pending--;
        promised[0] = Math.max(0, promised[0] - f.load);
        if (f.cancelled) {
            return;
        }
        account(nowMs);
        switch (faults.answer()) {
            case ANSWER_LOST -> {}
            case ANSWER_SPOILT -> end(nowMs, f, Outcome.ERROR);
            case RESET -> end(nowMs, f, Outcome.RESET);
            default -> {
                standing.add(f);
                tell(nowMs, f, new AttemptMessage.AttemptUp(f));
            }
        }
    }

    void onHangup(double nowMs, EmulatedAttempt f) {
        f.cancelled = true;
        if (f.indexAtEndpoint >= 0) {
            account(nowMs);
            standing.remove(f);
        }
    }

    // ---- Time passes ----

    /** What has stood since it was last counted was served as well as messages were. */
    private void account(double nowMs) {
        double passed = nowMs - countedMs;
        countedMs = nowMs;
        if (standing.isEmpty() || passed <= 0) {
            return;
        }
        standing.count(tally(), nowMs, passed, alive && nowMs >= pausedUntilMs ? inTime : null);
    }

    /** The part of messages in time, by class: none while more work is piled up than the aim, else as in M/M/1. */
    private void inTime(double backlog) {
        for (int c = 0; c < inTime.length; c++) {
            double left = world.scenario.requestClasses().get(c).messageObjectiveMs() - backlog;
            inTime[c] = left <= 0 ? 0 : 1 - Math.exp(-left / messageMs);
        }
    }

    private double delayMs(double nowMs) {
        return messageMs + backlogMs + Math.max(0, pausedUntilMs - nowMs);
    }

    private void push(double nowMs, EmulatedAttempt from) {
        if (!cold(nowMs)) {
            return;
        }
        double able = capacity(nowMs) * model.connectionRateFills() / model.slowStartMs();
        // The rule is one of new connections: what one of them will ask for later nobody knows when it is sent, and a
        // single
        // heavy one would push a member over that was sent two in as many seconds.
        double work = world.scenario.requestClasses().get(from.requestClass).load();
        cold.workArrived(nowMs, work, able, from.notifiedStartMs >= startedMs - 1);
        tally().strained(cold.strain(), cold.notifiedStrain());
        if (cold.isExceeded()) {
            say(nowMs, "pushed over " + Math.round(nowMs - startedMs) + " ms after its start");
            tally().felt++;
            cold.endpointFailed(nowMs, tally().rules, nowMs - startedMs);
            onProcessEnds(nowMs, true);
            send(nowMs + world.wayToDiscovery(this), world.discovery, new DiscoveryMessage.EndpointFailed(number));
        }
    }

    void onTick(double nowMs) {
        schedule(nowMs + TICK_MS, new EndpointMessage.Tick());
        account(nowMs);
        double passed = nowMs - tickedMs;
        Counters t = tally();
        t.queue[Math.min(t.queue.length - 1, pending)]++;
        double able = able(nowMs);
        double busy = (standing.cores() + (passed > 0 ? setupWorkMs / passed : 0)) / able;
        setupWorkMs = 0;
        backlogMs = Math.max(0, backlogMs + (standing.cores() / able - 1) * passed);
        // Sakasegawa's approximation of the mean time in M/M/c; a member without room is as slow as one nearly without.
        int c = kind.cores();
        double full = Math.min(1 - LEAST_FREE, busy);
        messageMs = model.messageMs()
                / kind.speed()
                / warm(nowMs)
                * slower
                * (1 + Math.pow(full, Math.sqrt(2.0 * (c + 1)) - 1) / (c * (1 - full)));
        inTime(backlogMs);
        tickedMs = nowMs;
        int second = Math.min(loadBySecond.length - 1, (int) (nowMs / 1000));
        loadBySecond[second] = alive ? (float) (standing.cores() / capacity()) : Float.NaN;
        if (past != null) {
            past.note(nowMs, this);
        }
        if (alive && nowMs - notedMs >= NOTE_MS && nowMs >= pausedUntilMs) {
            note(nowMs);
        }
    }

    /** Once a second: its clients see how long messages take, and a member far behind cuts some of them off. */
    private void note(double nowMs) {
        notedMs = nowMs;
        say(
                nowMs,
                standing.size() + " connections, load " + Math.round(standing.cores() * 100) / 100.0 + " of "
                        + Math.round(capacity() * 100) / 100.0 + " cores, " + Math.round(backlogMs)
                        + " ms of work piled up");
        double delay = delayMs(nowMs);
        if (model.reportsLatency() && (delay > noteFromMs || noted)) {
            // On one connection of each node, once more when it is back under.
            noted = delay > noteFromMs;
            noticed.clear();
            for (EmulatedAttempt f : standing.flows()) {
                if (noticed.add(((NodeActor) f.source).number)) {
                    tell(nowMs, f, new AttemptMessage.MessageDelay(f, delay));
                }
            }
        }
        if (backlogMs > model.resetBacklogMs()) {
            List<EmulatedAttempt> heaviest = new ArrayList<>(standing.flows());
            heaviest.sort((a, b) -> a.load != b.load
                    ? Double.compare(b.load, a.load)
                    : Integer.compare(a.indexAtEndpoint, b.indexAtEndpoint));
            int many = (int) Math.ceil(standing.size() * model.resetShare());
            heaviest.subList(0, Math.min(many, heaviest.size())).forEach(f -> reset(nowMs, f, Outcome.RESET));
            backlogMs *= 1 - model.resetShare();
        }
    }

    private void reset(double nowMs, EmulatedAttempt f, Outcome outcome) {
        account(nowMs);
        standing.remove(f);
        tally().at(outcome == Outcome.RESET ? tally().resets : tally().moves, nowMs);
        end(nowMs, f, outcome);
    }

    // ---- Processes and the network ----

    /** A part of the world is out of reach: what stood for it is served nothing, and its nodes notice by themselves. */
    void onPartitionBegan(double nowMs) {
        account(nowMs);
        for (int i = standing.size() - 1; i >= 0; i--) {
            EmulatedAttempt f = standing.get(i);
            if (world.cuts.backMs(((NodeActor) f.source).site, this, nowMs) > nowMs) {
                standing.remove(f);
                tally().at(tally().resets, nowMs);
            }
        }
    }

    /** A drain is over: its clients are sent away in good order, and the process ends. */
    void onDrainOver(double nowMs) {
        if (!alive) {
            return;
        }
        while (!standing.isEmpty()) {
            reset(nowMs, standing.get(standing.size() - 1), Outcome.OK);
        }
        onProcessEnds(nowMs, true);
    }

    void onProcessEnds(double nowMs, boolean withReset) {
        if (!alive) {
            return;
        }
        say(nowMs, "ends with " + standing.size() + " connections" + (withReset ? "" : ", in silence"));
        resets = withReset;
        for (int i = standing.size() - 1; i >= 0; i--) {
            EmulatedAttempt f = standing.get(i);
            if (withReset) {
                reset(nowMs, f, Outcome.RESET);
            } else {
                // Nothing says that it is gone; each client finds out by itself.
                account(nowMs);
                standing.remove(f);
                tally().at(tally().resets, nowMs);
                schedule(nowMs + SILENT_MS * (0.5 + 0.5 * random.nextDouble()), new EndpointMessage.SilenceNoticed(f));
            }
        }
        alive = false;
        generation++;
        pending = 0;
        backlogMs = 0;
        promised[0] = 0;
        java.util.Arrays.fill(freeAtMs, 0);
    }

    void onProcessStarts(double nowMs) {
        say(nowMs, "a new process");
        alive = true;
        resets = true;
        startedMs = nowMs;
        slower = 1;
        cold.processRestarted();
    }

    /** The day is over: what stands is counted as far as it went. */
    void end(double nowMs) {
        account(nowMs);
    }
}

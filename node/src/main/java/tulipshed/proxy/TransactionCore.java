package tulipshed.proxy;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import tulipshed.decision.BalancerApi;
import tulipshed.decision.BalancerApi.ListKind;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.Report;
import tulipshed.decision.BalancerApi.RequestClass;
import tulipshed.decision.BalancerApi.Settings;
import tulipshed.limits.Limits;
import tulipshed.routing.Router;
import tulipshed.time.Clock;

/**
 * Stands between fronts, pool members and the decision module, and knows no wire. Fronts and connectors tell
 * it what happened; it gathers that, hands all of it to the module in one turn, and then carries out what the
 * module decided, in the order decided. It keeps the rules that need no decision: one final answer for each
 * transaction, one flow out at a time, nothing sent to a member that is not serving, every wait bounded.
 */
public final class TransactionCore {
    private static final double LEAVING_SHARE = 0.6; // of the drain grace: over which flows leave a member

    /** Makes the decision module once the core stands. */
    public interface Module {
        BalancerApi create(Settings settings, long seed, long nowUs, BalancerApi.Actions actions);
    }

    private final Clock clock;
    private final Limits limits;
    private Settings settings;
    private final Consumer<String> log;
    private final BalancerApi module;
    private final Figures figures = new Figures();
    private final PoolMembers members = new PoolMembers();
    private final Routing routing;
    private final Map<Long, Transaction> transactions = new HashMap<>();
    private final Turns turns;
    private final Set<Transaction> standing = new LinkedHashSet<>();
    private final Shadows shadows = new Shadows();
    private MemberSource source = () -> {};
    private MemberProber prober;
    private PeerSender peers = (peer, body) -> {};
    private Companion companion;
    private double share = 1;
    private boolean watchesRoutes;
    private long lastId;

    public TransactionCore(
            Clock clock, Limits limits, Settings settings, long seed, Loop loop, Consumer<String> log, Module factory) {
        this.clock = clock;
        this.limits = limits;
        this.settings = settings;
        turns = new Turns(clock, loop, log);
        this.log = log;
        routing = new Routing(settings, log);
        this.module =
                factory.create(settings, seed, Clock.toMicros(clock.nowMs()), new Decisions(this, turns, clock, log));
        figures.classes(settings.classes());
        turns.begin(module);
    }

    /**
     * Other settings from now on. The module is told in its turn, after all that was gathered under the old ones.
     */
    public void reconfigure(Settings changed) {
        settings = changed;
        routing.reconfigure(changed);
        figures.classes(changed.classes());
        turns.gather((module, ms, nowUs) -> module.reconfigure(nowUs, changed));
    }

    /**
     * Other rules of the operators from now on, or none. What stands stays where it is; what waits is held to the new
     * routes.
     */
    public void route(Router router) {
        routing.router(router, members.entries(), clock.nowMs());
        turns.gather((module, ms, nowUs) -> {
            routing.tellPools(module, nowUs);
            routing.look(module, nowUs, transactions.values());
            routing.reroute(module, nowUs, transactions.values());
        });
        watchRoutes();
    }

    /** Members may fall out of favour, and grow older, without any news of the list. */
    private void watchRoutes() {
        if (!watchesRoutes && routing.watches()) {
            watchesRoutes = true;
            turns.due(clock.nowMs() + limits.transactions().routesMs(), () -> {
                watchesRoutes = false;
                lookAtRoutes(routing.members(members.entries(), clock.nowMs()));
                watchRoutes();
            });
        }
    }

    private void lookAtRoutes(boolean poolsChanged) {
        turns.gather((module, ms, nowUs) -> {
            if (poolsChanged) {
                routing.tellPools(module, nowUs);
            }
            routing.look(module, nowUs, transactions.values());
        });
    }

    /** Where the module's wish for the list goes. */
    public void source(MemberSource source) {
        this.source = source;
    }

    /** Where the module's probes go; without one each is answered at once, with nothing, so that nobody waits for it. */
    public void prober(MemberProber prober) {
        this.prober = prober;
    }

    void probe(String memberId) {
        PoolMember member = members.get(memberId);
        if (prober != null
                && settings.limits().probes()
                && member != null
                && member.serving()
                && member.address() != null) {
            prober.probe(member);
        } else {
            probed(memberId, Outcome.UNUSED, Report.NONE);
        }
    }

    /** Where datagrams to other nodes go; without a sender, or where the settings allow none, they go nowhere. */
    public void peers(PeerSender sender) {
        peers = sender;
    }

    void tell(int peer, byte[] body) {
        if (settings.limits().peers()) {
            peers.send(peer, body);
        }
    }

    /** What another node sent, by its number; the sender has been told apart from strangers. */
    public void peerMessage(int from, byte[] body) {
        turns.gather((module, ms, nowUs) -> module.peerMessage(nowUs, from, body));
    }

    /** A probe's one answer; the report is {@link Report#NONE} where none came. */
    public void probed(String memberId, Outcome outcome, Report report) {
        turns.gather((module, ms, nowUs) -> module.probed(nowUs, memberId, outcome, report));
    }

    // ---- What fronts, connectors and discovery tell ----

    /** A transaction arrived; it is owed one final answer from here on. */
    public void arrived(Transaction t) {
        routing.classify(t);
        count(t);
        take(t);
        t.deadline(turns.due(t.deadlineMs() - limits.transactions().answerMarginMs(), () -> overdue(t)));
        turns.gather((module, nowMs, nowUs) -> {
            t.pool(routing.pool(t));
            module.request(nowUs, t.asRequest(nowMs, t.requestClass()));
        });
    }

    /** A connection that stood at that member before this node started wants to go on. */
    public void alreadyOpen(Transaction t, String memberId) {
        routing.classify(t);
        count(t);
        carryOn(t, memberId, clock.nowMs());
    }

    /**
     * The list held at the start may be old: a member that it does not name yet is waited for, but not for long
     * once discovery has told its own.
     */
    private void carryOn(Transaction t, String memberId, double sinceMs) {
        double untilMs = sinceMs + limits.transactions().standingMs();
        PoolMember member = members.get(memberId);
        double nowMs = clock.nowMs();
        if (!t.owed()) {
            return;
        } else if (member == null || member.address() == null) {
            if (nowMs < (members.told() ? sinceMs + limits.transactions().unlistedMemberMs() : untilMs)) {
                turns.due(nowMs + limits.transactions().unknownMemberMs(), () -> carryOn(t, memberId, sinceMs));
            } else {
                failed(t);
            }
            return;
        }
        take(t);
        ServerSideFlow flow = new ServerSideFlow(t, member, 0, nowMs, untilMs);
        t.flow(flow);
        flow.waits(turns.due(flow.endsMs(), () -> timeOut(flow)), null);
        // Settings may have changed while its member was waited for; it is not sent again, so any class will do.
        int requestClass = Math.max(
                0, settings.classes().stream().map(RequestClass::name).toList().indexOf(t.className()));
        turns.gather((module, ms, nowUs) -> {
            t.pool(routing.pool(t));
            module.alreadyOpen(nowUs, t.asRequest(ms, requestClass), memberId);
        });
        turns.decide(() -> t.connector().open(flow));
    }

    private void count(Transaction t) {
        t.kind(settings.classes().get(t.requestClass()));
        figures.taken();
    }

    private void close(Transaction t) {
        t.close();
        figures.ended();
    }

    private void failed(Transaction t) {
        close(t);
        figures.failed(t);
        t.client().fail();
    }

    private void rejected(Transaction t, double retryAfterMs) {
        close(t);
        figures.rejected(t);
        t.client().reject(retryAfterMs);
    }

    private void take(Transaction t) {
        t.number(++lastId);
        transactions.put(t.id(), t);
    }

    /**
     * Asked by a connector when a flow's connection is up and its first byte could go out: whether it may.
     * Guards against a member that began to drain, or left, while the connection was being made, and against a time for
     * repeats that has passed meanwhile, which says nothing of the member.
     */
    public boolean maySend(ServerSideFlow flow) {
        if (!flow.over() && !flow.transaction().mayRun(clock.nowMs())) {
            ended(flow, Outcome.UNUSED);
            return false;
        }
        flow.connect();
        return !flow.over()
                && flow.transaction().owed()
                && (flow.member().serving()
                        || flow.transaction().stoodBefore()
                                && !flow.transaction().connector().leavesDraining());
    }

    /** The member serves the flow; false where the flow is over and its answer must not reach the client. */
    public boolean up(ServerSideFlow flow) {
        Transaction t = flow.transaction();
        if (flow.over() || !t.owed()) {
            return false;
        }
        t.stand();
        figures.up(t);
        standing.add(t);
        if (companion != null) {
            t.place(companion.stands(t.standingAt(flow.member().id())));
        }
        flow.connect();
        flow.up(clock.nowMs());
        if (!t.stoodBefore()) {
            long tookUs = Clock.toMicros(flow.upMs() - flow.startedMs());
            turns.gather((module, ms, nowUs) -> module.started(nowUs, t.id(), flow.number(), tookUs));
        }
        return true;
    }

    /** An attempt has been written whole to its member. */
    public void dispatched() {
        figures.dispatched();
    }

    /** Whether the settings say that answers may close with a load report. */
    public boolean reportsInAnswers() {
        return settings.reports() == BalancerApi.Reports.ANSWERS;
    }

    /** How a flow ended, with nothing told of its member's load. */
    public void ended(ServerSideFlow flow, Outcome outcome) {
        ended(flow, outcome, Report.NONE);
    }

    /** How a flow ended; told once, later tellings are passed over. */
    public void ended(ServerSideFlow flow, Outcome outcome, Report report) {
        if (flow.over()) {
            return;
        }
        flow.end();
        Transaction t = flow.transaction();
        t.flow(null);
        if (!outcome.neverRan) {
            t.ran(flow.startedMs());
        }
        if (t.standing()) {
            close(t);
            standing.remove(t);
            if (t.place() >= 0) {
                companion.ended(t.place());
            }
        } else if (t.stoodBefore() && t.owed()) {
            // The module counts it as standing and will not answer; the client is owed a word all the same.
            failed(t);
        }
        turns.gather((module, ms, nowUs) -> {
            module.finished(nowUs, t.id(), flow.number(), !t.owed(), outcome, report);
            forget(t);
        });
    }

    /** The client left before it was answered. */
    public void clientLeft(Transaction t) {
        if (!t.owed()) {
            return;
        }
        close(t);
        if (t.id() == 0) {
            // Its member was still waited for, so the module has not heard of it.
            return;
        }
        turns.gather((module, ms, nowUs) -> {
            module.abandoned(nowUs, t.id());
            // The module calls its flow off where the site allows that; nobody waits for it either way.
            turns.decide(() -> callOff(t));
            forget(t);
        });
    }

    /** Messages at a standing flow's member take this long now, as the member tells. */
    public void delayed(ServerSideFlow flow, double delayMs) {
        if (!flow.over()) {
            long id = flow.transaction().id();
            turns.gather((module, ms, nowUs) -> module.delayNote(nowUs, id, delayMs));
        }
    }

    /** A standing connection's load changed, in microseconds of work a second. */
    public void loadChanged(ServerSideFlow flow, double loadUsPerS) {
        if (!flow.over()) {
            long id = flow.transaction().id();
            turns.gather((module, ms, nowUs) -> module.loadNote(nowUs, id, loadUsPerS));
        }
    }

    /** What discovery told; takes effect for {@link #maySend} at once. */
    public void members(ListKind kind, List<ListedMember> listed) {
        members.update(kind, listed);
        leaveDraining();
        List<BalancerApi.ServerEntry> entries =
                listed.stream().map(ListedMember::entry).toList();
        turns.gather((module, ms, nowUs) -> module.servers(nowUs, kind, entries));
        if (kind != ListKind.FAILED && routing.watches()) {
            lookAtRoutes(routing.members(members.entries(), clock.nowMs()));
        }
    }

    /** After how long a client that is turned away may be told to come again; 0 where the settings allow no word. */
    public double retryAfterMs(double wantedMs) {
        return settings.limits().retryAfter()
                ? Math.min(wantedMs, Clock.toMillis(settings.limits().maxRetryAfterUs()))
                : 0;
    }

    /** Whether the list names this member as serving. */
    public boolean serving(String memberId) {
        PoolMember member = members.get(memberId);
        return member != null && member.serving() && member.address() != null;
    }

    /** Ends the flows that may not stay on a draining member, spread over part of the time that the rule gives. */
    private void leaveDraining() {
        List<ServerSideFlow> leaving = transactions.values().stream()
                .map(Transaction::flow)
                .filter(f -> f != null
                        && !f.member().serving()
                        && !f.leaving()
                        && f.transaction().connector().leavesDraining())
                .toList();
        double spreadMs = LEAVING_SHARE * Clock.toMillis(settings.rules().drainGraceUs());
        double nowMs = clock.nowMs();
        for (int i = 0; i < leaving.size(); i++) {
            ServerSideFlow flow = leaving.get(i);
            flow.leave();
            turns.due(nowMs + spreadMs * i / leaving.size(), () -> leaveMember(flow));
        }
    }

    private void leaveMember(ServerSideFlow flow) {
        Transaction t = flow.transaction();
        if (!flow.over() && t.standing()) {
            moveNow(t, Outcome.CANCELLED);
        } else if (!flow.over()) {
            t.connector().giveUp(flow);
            ended(flow, Outcome.RESET);
        }
    }

    /** For tests: what was gathered is handed over now. */
    void turn() {
        turns.turn();
    }

    private void forget(Transaction t) {
        if (!t.owed() && t.flow() == null) {
            transactions.remove(t.id());
        }
    }

    // ---- Deadlines ----

    /** The module answers in time by itself; should it not, the client still gets its one answer. */
    private void overdue(Transaction t) {
        if (t.owed() && t.flow() == null) {
            log.accept("transaction " + t.id() + " was overdue");
            failed(t);
            turns.gather((module, ms, nowUs) -> {
                module.abandoned(nowUs, t.id());
                forget(t);
            });
        }
    }

    private void timeOut(ServerSideFlow flow) {
        if (!flow.over() && !flow.transaction().standing()) {
            flow.transaction().connector().giveUp(flow);
            ended(flow, flow.connected() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }
    }

    private void connectTimeOut(ServerSideFlow flow) {
        if (!flow.over() && !flow.connected()) {
            flow.transaction().connector().giveUp(flow);
            ended(flow, Outcome.CONNECT_FAILED);
        }
    }

    private void callOff(Transaction t) {
        ServerSideFlow flow = t.flow();
        if (flow != null && !t.standing()) {
            t.connector().giveUp(flow);
            ended(flow, Outcome.CANCELLED);
        }
    }

    // ---- What the module decides; Decisions calls these once the whole batch has been handed over ----

    void refuse(long request, double retryAfterMs) {
        answer(request, t -> rejected(t, retryAfterMs));
    }

    void fail(long request) {
        answer(request, this::failed);
    }

    void move(long request) {
        Transaction t = transactions.get(request);
        if (t != null && t.standing()) {
            moveNow(t, Outcome.CANCELLED);
        }
    }

    void cancel(long request, int attempt) {
        Transaction t = transactions.get(request);
        if (t != null && t.flow() != null && t.flow().number() == attempt) {
            callOff(t);
        }
    }

    void watchList() {
        source.watch();
    }

    private void answer(long request, Consumer<Transaction> how) {
        Transaction t = transactions.get(request);
        if (t != null && t.owed()) {
            how.accept(t);
            forget(t);
        }
    }

    void send(long request, String server, double timeoutMs) {
        Transaction t = transactions.get(request);
        if (t == null) {
            return;
        }
        double nowMs = clock.nowMs();
        PoolMember member = members.orNew(server);
        double deadlineMs = t.deadlineMs() - limits.transactions().answerMarginMs();
        double endsMs = timeoutMs > 0 ? Math.min(deadlineMs, nowMs + timeoutMs) : deadlineMs;
        if (!t.owed()
                || t.flow() != null
                || endsMs <= nowMs
                || t.attempts() >= settings.limits().maxAttempts()) {
            int number = t.attempts();
            turns.gather((module, ms, nowUs) ->
                    module.finished(nowUs, t.id(), number, !t.owed(), Outcome.UNUSED, Report.NONE));
            return;
        }
        ServerSideFlow flow = new ServerSideFlow(t, member, t.attempts(), nowMs, endsMs);
        t.flow(flow);
        if (!member.serving() || member.address() == null) {
            ended(flow, Outcome.CONNECT_FAILED);
            return;
        }
        flow.waits(
                turns.due(endsMs, () -> timeOut(flow)),
                turns.due(nowMs + Clock.toMillis(settings.limits().connectTimeoutUs()), () -> connectTimeOut(flow)));
        t.connector().open(flow);
    }

    // ---- Leaving ----

    /** Ends a standing connection politely and tells the module how its flow ended. */
    private void moveNow(Transaction t, Outcome outcome) {
        ServerSideFlow flow = t.flow();
        t.client().move();
        if (flow != null) {
            ended(flow, outcome);
        }
    }

    /** A standing connection's member has gone silent: its client is sent elsewhere. */
    public void silent(ServerSideFlow flow) {
        if (!flow.over() && flow.transaction().standing()) {
            log.accept("silent: " + flow.member().id());
            moveNow(flow.transaction(), Outcome.RESET);
        }
    }

    /** Asks the client that has stood longest to move; false where none stands. */
    public boolean moveOne() {
        if (standing.isEmpty()) {
            return false;
        }
        moveNow(standing.iterator().next(), Outcome.CANCELLED);
        return true;
    }

    public Figures figures() {
        return figures;
    }

    /** Pool members that the list names. */
    public long targets() {
        return members.listed();
    }

    /** Those of them that serve. */
    public long serving() {
        return members.entries().stream()
                .filter(e -> e.state() == BalancerApi.ServerState.SERVING)
                .count();
    }

    /** Those of them to which the module sends nothing new now. */
    public int targetsAvoided() {
        return module.avoided(Clock.toMicros(clock.nowMs()));
    }

    /** There may be another process of this node. */
    public void companion(Companion other) {
        companion = other;
    }

    /** Tells the module what has begun to stand in the other process, and what has ended there. */
    public void lookAtCompanion() {
        shadows.look(
                companion.others(),
                id -> members.get(id) != null,
                () -> ++lastId,
                id -> turns.gather(
                        (module, ms, nowUs) -> module.finished(nowUs, id, 0, true, Outcome.CANCELLED, Report.NONE)),
                (id, there) -> turns.gather((module, ms, nowUs) -> module.alreadyOpen(
                        nowUs,
                        new NewRequest(id, 0, -1, "", there.group(), 0, there.hint(), false, false, false),
                        there.member())));
    }

    /** Whether discovery has told its list since the start. */
    public boolean listTold() {
        return members.told();
    }

    /** Whether the operators' rules have routes. */
    public boolean routes() {
        return routing.routes();
    }

    /** How many routes use another pool than their first. */
    public int routesSpilled() {
        return routing.spilled();
    }

    /** The share of what this node is allowed that this process may use. */
    public void share(double ofNode) {
        if (ofNode != share) {
            share = ofNode;
            turns.gather((module, ms, nowUs) -> module.share(nowUs, ofNode));
        }
    }

    /** The longest that a client of any class waits. */
    public double longestDeadlineMs() {
        return Clock.toMillis(settings.classes().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0));
    }

    public int standingCount() {
        return standing.size();
    }

    /** The node is about to go: everything still owed is answered now, as refused only where a repeat is harmless. */
    public void rejectAllOwed() {
        for (Transaction t : List.copyOf(transactions.values())) {
            if (t.owed()) {
                answer(t.id(), x -> {
                    if (x.mayBeRefused()) {
                        rejected(x, 0);
                    } else {
                        failed(x);
                    }
                });
                callOff(t);
            }
        }
    }
}

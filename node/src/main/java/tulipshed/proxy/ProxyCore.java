package tulipshed.proxy;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import tulipshed.decision.BalancerApi;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.LoadReport;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.RequestClass;
import tulipshed.decision.BalancerApi.Settings;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.routing.Router;
import tulipshed.time.Clock;

/**
 * Stands between fronts, pool members and the decision module, and knows no wire. Fronts and connectors tell
 * it what happened; it gathers that, hands all of it to the module in one turn, and then carries out what the
 * module decided, in the order decided. It keeps the rules that need no decision: one final answer for each
 * transaction, one flow out at a time, nothing sent to a member that is not serving, every wait bounded.
 */
public final class ProxyCore {
    private static final double LEAVING_SHARE = 0.6; // of the drain grace: over which flows leave a member

    /** Makes the decision module once the core stands. */
    public interface BalancerFactory {
        BalancerApi create(Settings settings, long seed, long nowUs, BalancerApi.Actions actions);
    }

    private final Clock clock;
    private final Limits limits;
    private Settings settings;
    private final Logger log;
    private final BalancerApi module;
    private final NodeMetrics metrics = new NodeMetrics();
    private final EndpointRegistry endpointsChanged = new EndpointRegistry();
    private final RequestRouting routing;
    private final Map<Long, Request> requests = new HashMap<>();
    private final EventBatch eventBatch;
    private final Set<Request> established = new LinkedHashSet<>();
    private final ReplicatedConnections replicatedConnections = new ReplicatedConnections();
    private EndpointListSource endpointListSource = () -> {};
    private HealthChecker healthChecker;
    private PeerSender peerSender = (peer, body) -> {};
    private HotRestartPeer hotRestartPeer;
    private double quotaShare = 1;
    private boolean watchesRoutes;
    private long lastId;

    public ProxyCore(
            Clock clock,
            Limits limits,
            Settings settings,
            long seed,
            EventLoop loop,
            NodeLog log,
            BalancerFactory factory) {
        this.clock = clock;
        this.limits = limits;
        this.settings = settings;
        eventBatch = new EventBatch(clock, loop, log);
        this.log = log.logger("core");
        routing = new RequestRouting(settings, log);
        this.module = factory.create(
                settings, seed, Clock.toMicros(clock.nowMs()), new DecisionBuffer(this, eventBatch, clock, log));
        metrics.classes(settings.classes());
        eventBatch.begin(module);
    }

    /**
     * Other settings from now on. The module is told in its turn, after all that was gathered under the old ones.
     */
    public void reconfigure(Settings changed) {
        settings = changed;
        routing.reconfigure(changed);
        metrics.classes(changed.classes());
        eventBatch.add((module, ms, nowUs) -> module.reconfigure(nowUs, changed));
    }

    /**
     * Other rules of the operators from now on, or none. What stands stays where it is; what waits is held to the new
     * routes.
     */
    public void useRouter(Router router) {
        routing.router(router, endpointsChanged.entries(), clock.nowMs());
        eventBatch.add((module, ms, nowUs) -> {
            routing.tellPools(module, nowUs);
            routing.look(module, nowUs, requests.values());
            routing.reroute(module, nowUs, requests.values());
        });
        watchRoutes();
    }

    /** Members may fall out of favour, and grow older, without any news of the list. */
    private void watchRoutes() {
        if (!watchesRoutes && routing.watches()) {
            watchesRoutes = true;
            eventBatch.schedule(clock.nowMs() + limits.requests().routePollMs(), () -> {
                watchesRoutes = false;
                lookAtRoutes(routing.members(endpointsChanged.entries(), clock.nowMs()));
                watchRoutes();
            });
        }
    }

    private void lookAtRoutes(boolean poolsChanged) {
        eventBatch.add((module, ms, nowUs) -> {
            if (poolsChanged) {
                routing.tellPools(module, nowUs);
            }
            routing.look(module, nowUs, requests.values());
        });
    }

    /** Where the module's wish for the list goes. */
    public void endpointListSource(EndpointListSource source) {
        this.endpointListSource = source;
    }

    /** Where the module's probes go; without one each is answered at once, with nothing, so that nobody waits for it. */
    public void healthChecker(HealthChecker prober) {
        this.healthChecker = prober;
    }

    void startHealthCheck(String memberId) {
        Endpoint endpoint = endpointsChanged.get(memberId);
        if (healthChecker != null
                && settings.limits().healthChecks()
                && endpoint != null
                && endpoint.isServing()
                && endpoint.address() != null) {
            healthChecker.check(endpoint);
        } else {
            healthCheckCompleted(memberId, Outcome.UNUSED, LoadReport.NONE);
        }
    }

    /** Where datagrams to other nodes go; without a sender, or where the settings allow none, they go nowhere. */
    public void peerSender(PeerSender sender) {
        peerSender = sender;
    }

    void sendToPeer(int peer, byte[] body) {
        if (settings.limits().peerMessages()) {
            peerSender.send(peer, body);
        }
    }

    /** What another node sent, by its number; the sender has been told apart from strangers. */
    public void peerMessageReceived(int from, byte[] body) {
        eventBatch.add((module, ms, nowUs) -> module.peerMessageReceived(nowUs, from, body));
    }

    /** A probe's one answer; the report is {@link LoadReport#NONE} where none came. */
    public void healthCheckCompleted(String memberId, Outcome outcome, LoadReport report) {
        eventBatch.add((module, ms, nowUs) -> module.healthCheckCompleted(nowUs, memberId, outcome, report));
    }

    // ---- What fronts, connectors and discovery tell ----

    /** A transaction arrived; it is owed one final answer from here on. */
    public void requestArrived(Request request) {
        routing.classify(request);
        count(request);
        take(request);
        request.deadline(eventBatch.schedule(
                request.deadlineMs() - limits.requests().responseMarginMs(), () -> overdue(request)));
        eventBatch.add((module, nowMs, nowUs) -> {
            request.pool(routing.pool(request));
            module.requestArrived(nowUs, request.asRequest(nowMs, request.requestClass()));
        });
    }

    /** A connection that stood at that member before this node started wants to go on. */
    public void adoptConnection(Request request, String memberId) {
        routing.classify(request);
        count(request);
        carryOn(request, memberId, clock.nowMs());
    }

    /**
     * The list held at the start may be old: a member that it does not name yet is waited for, but not for long
     * once discovery has told its own.
     */
    private void carryOn(Request request, String memberId, double sinceMs) {
        double untilMs = sinceMs + limits.requests().adoptionTimeoutMs();
        Endpoint endpoint = endpointsChanged.get(memberId);
        double nowMs = clock.nowMs();
        if (!request.isPending()) {
            return;
        } else if (endpoint == null || endpoint.address() == null) {
            if (nowMs < (endpointsChanged.told() ? sinceMs + limits.requests().unlistedEndpointTimeoutMs() : untilMs)) {
                eventBatch.schedule(
                        nowMs + limits.requests().unknownEndpointPollMs(), () -> carryOn(request, memberId, sinceMs));
            } else {
                failed(request);
            }
            return;
        }
        take(request);
        Attempt attempt = new Attempt(request, endpoint, 0, nowMs, untilMs);
        request.attempt(attempt);
        attempt.waits(eventBatch.schedule(attempt.endsMs(), () -> timeOut(attempt)), null);
        // Settings may have changed while its member was waited for; it is not sent again, so any class will do.
        int requestClass = Math.max(
                0, settings.classes().stream().map(RequestClass::name).toList().indexOf(request.className()));
        eventBatch.add((module, ms, nowUs) -> {
            request.pool(routing.pool(request));
            module.connectionAdopted(nowUs, request.asRequest(ms, requestClass), memberId);
        });
        eventBatch.defer(() -> request.connector().open(attempt));
    }

    private void count(Request request) {
        request.kind(settings.classes().get(request.requestClass()));
        metrics.taken();
    }

    private void close(Request request) {
        request.close();
        metrics.ended();
    }

    private void failed(Request request) {
        close(request);
        metrics.failed(request);
        request.client().fail();
    }

    private void rejected(Request request, double retryAfterMs) {
        close(request);
        metrics.rejected(request);
        request.client().reject(retryAfterMs);
    }

    private void take(Request request) {
        request.number(++lastId);
        requests.put(request.id(), request);
    }

    /**
     * Asked by a connector when a flow's connection is up and its first byte could go out: whether it may.
     * Guards against a member that began to drain, or left, while the connection was being made, and against a time for
     * repeats that has passed meanwhile, which says nothing of the member.
     */
    public boolean mayForward(Attempt attempt) {
        if (!attempt.isEnded() && !attempt.request().mayRun(clock.nowMs())) {
            attemptEnded(attempt, Outcome.UNUSED);
            return false;
        }
        attempt.connect();
        return !attempt.isEnded()
                && attempt.request().isPending()
                && (attempt.endpoint().isServing()
                        || (attempt.request().isAdopted()
                                && !attempt.request().connector().mustLeaveDrainingEndpoint()));
    }

    /** The member serves the flow; false where the flow is over and its answer must not reach the client. */
    public boolean attemptEstablished(Attempt attempt) {
        Request request = attempt.request();
        if (attempt.isEnded() || !request.isPending()) {
            return false;
        }
        request.establish();
        metrics.up(request);
        established.add(request);
        if (hotRestartPeer != null) {
            request.place(hotRestartPeer.connectionEstablished(
                    request.establishedAt(attempt.endpoint().id())));
        }
        attempt.connect();
        attempt.up(clock.nowMs());
        if (!request.isAdopted()) {
            long tookUs = Clock.toMicros(attempt.upMs() - attempt.startedMs());
            eventBatch.add(
                    (module, ms, nowUs) -> module.attemptEstablished(nowUs, request.id(), attempt.number(), tookUs));
        }
        return true;
    }

    /** An attempt has been written whole to its member. */
    public void attemptForwarded() {
        metrics.dispatched();
    }

    /** Whether the settings say that answers may close with a load report. */
    public boolean expectsInlineLoadReports() {
        return settings.loadReportSource() == BalancerApi.LoadReportSource.RESPONSES;
    }

    /** How a flow ended, with nothing told of its member's load. */
    public void attemptEnded(Attempt attempt, Outcome outcome) {
        attemptEnded(attempt, outcome, LoadReport.NONE);
    }

    /** How a flow ended; told once, later tellings are passed over. */
    public void attemptEnded(Attempt attempt, Outcome outcome, LoadReport report) {
        if (attempt.isEnded()) {
            return;
        }
        attempt.end();
        Request request = attempt.request();
        request.attempt(null);
        if (!outcome.neverRan) {
            request.ran(attempt.startedMs());
        }
        if (request.isEstablished()) {
            close(request);
            established.remove(request);
            if (request.place() >= 0) {
                hotRestartPeer.connectionEnded(request.place());
            }
        } else if (request.isAdopted() && request.isPending()) {
            // The module counts it as standing and will not answer; the client is owed a word all the same.
            failed(request);
        }
        eventBatch.add((module, ms, nowUs) -> {
            module.attemptEnded(nowUs, request.id(), attempt.number(), !request.isPending(), outcome, report);
            forget(request);
        });
    }

    /** The client left before it was answered. */
    public void clientDisconnected(Request request) {
        if (!request.isPending()) {
            return;
        }
        close(request);
        if (request.id() == 0) {
            // Its member was still waited for, so the module has not heard of it.
            return;
        }
        eventBatch.add((module, ms, nowUs) -> {
            module.requestCancelled(nowUs, request.id());
            // The module calls its flow off where the site allows that; nobody waits for it either way.
            eventBatch.defer(() -> callOff(request));
            forget(request);
        });
    }

    /** Messages at a standing flow's member take this long now, as the member tells. */
    public void latencyReported(Attempt attempt, double delayMs) {
        if (!attempt.isEnded()) {
            long id = attempt.request().id();
            eventBatch.add((module, ms, nowUs) -> module.latencyReported(nowUs, id, delayMs));
        }
    }

    /** A standing connection's load changed, in microseconds of work a second. */
    public void loadReported(Attempt attempt, double loadUsPerS) {
        if (!attempt.isEnded()) {
            long id = attempt.request().id();
            eventBatch.add((module, ms, nowUs) -> module.loadReported(nowUs, id, loadUsPerS));
        }
    }

    /** What discovery told; takes effect for {@link #mayForward} at once. */
    public void endpointsChanged(EndpointListKind kind, List<EndpointListEntry> listed) {
        endpointsChanged.update(kind, listed);
        leaveDraining();
        List<BalancerApi.EndpointInfo> entries =
                listed.stream().map(EndpointListEntry::info).toList();
        eventBatch.add((module, ms, nowUs) -> module.endpointsChanged(nowUs, kind, entries));
        if (kind != EndpointListKind.FAILED && routing.watches()) {
            lookAtRoutes(routing.members(endpointsChanged.entries(), clock.nowMs()));
        }
    }

    /** After how long a client that is turned away may be told to come again; 0 where the settings allow no word. */
    public double retryAfterMs(double wantedMs) {
        return settings.limits().retryAfter()
                ? Math.min(wantedMs, Clock.toMillis(settings.limits().maxRetryAfterUs()))
                : 0;
    }

    /** Whether the list names this member as serving. */
    public boolean isServing(String memberId) {
        Endpoint endpoint = endpointsChanged.get(memberId);
        return endpoint != null && endpoint.isServing() && endpoint.address() != null;
    }

    /** Ends the flows that may not stay on a draining member, spread over part of the time that the rule gives. */
    private void leaveDraining() {
        List<Attempt> leaving = requests.values().stream()
                .map(Request::attempt)
                .filter(f -> f != null
                        && !f.endpoint().isServing()
                        && !f.leaving()
                        && f.request().connector().mustLeaveDrainingEndpoint())
                .toList();
        double spreadMs = LEAVING_SHARE * Clock.toMillis(settings.rules().drainGraceUs());
        double nowMs = clock.nowMs();
        for (int i = 0; i < leaving.size(); i++) {
            Attempt attempt = leaving.get(i);
            attempt.leave();
            eventBatch.schedule(nowMs + spreadMs * i / leaving.size(), () -> leaveMember(attempt));
        }
    }

    private void leaveMember(Attempt attempt) {
        Request request = attempt.request();
        if (!attempt.isEnded() && request.isEstablished()) {
            moveNow(request, Outcome.CANCELLED);
        } else if (!attempt.isEnded()) {
            request.connector().abandon(attempt);
            attemptEnded(attempt, Outcome.RESET);
        }
    }

    /** For tests: what was gathered is handed over now. */
    void runBatch() {
        eventBatch.run();
    }

    private void forget(Request request) {
        if (!request.isPending() && request.attempt() == null) {
            requests.remove(request.id());
        }
    }

    // ---- Deadlines ----

    /** The module answers in time by itself; should it not, the client still gets its one answer. */
    private void overdue(Request request) {
        if (request.isPending() && request.attempt() == null) {
            log.warn("request " + request.id() + " failed: no decision before its deadline");
            failed(request);
            eventBatch.add((module, ms, nowUs) -> {
                module.requestCancelled(nowUs, request.id());
                forget(request);
            });
        }
    }

    private void timeOut(Attempt attempt) {
        if (!attempt.isEnded() && !attempt.request().isEstablished()) {
            attempt.request().connector().abandon(attempt);
            attemptEnded(attempt, attempt.connected() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }
    }

    private void connectTimeOut(Attempt attempt) {
        if (!attempt.isEnded() && !attempt.connected()) {
            attempt.request().connector().abandon(attempt);
            attemptEnded(attempt, Outcome.CONNECT_FAILED);
        }
    }

    private void callOff(Request request) {
        Attempt attempt = request.attempt();
        if (attempt != null && !request.isEstablished()) {
            request.connector().abandon(attempt);
            attemptEnded(attempt, Outcome.CANCELLED);
        }
    }

    // ---- What the module decides; Decisions calls these once the whole batch has been handed over ----

    void reject(long requestId, double retryAfterMs) {
        answer(requestId, request -> rejected(request, retryAfterMs));
    }

    void fail(long requestId) {
        answer(requestId, this::failed);
    }

    void migrate(long requestId) {
        Request request = requests.get(requestId);
        if (request != null && request.isEstablished()) {
            moveNow(request, Outcome.CANCELLED);
        }
    }

    void cancelAttempt(long requestId, int attempt) {
        Request request = requests.get(requestId);
        if (request != null && request.attempt() != null && request.attempt().number() == attempt) {
            callOff(request);
        }
    }

    void watchEndpoints() {
        endpointListSource.watch();
    }

    private void answer(long requestId, Consumer<Request> how) {
        Request request = requests.get(requestId);
        if (request != null && request.isPending()) {
            how.accept(request);
            forget(request);
        }
    }

    void startAttempt(long requestId, String server, double timeoutMs) {
        Request request = requests.get(requestId);
        if (request == null) {
            return;
        }
        double nowMs = clock.nowMs();
        Endpoint endpoint = endpointsChanged.orNew(server);
        double deadlineMs = request.deadlineMs() - limits.requests().responseMarginMs();
        double endsMs = timeoutMs > 0 ? Math.min(deadlineMs, nowMs + timeoutMs) : deadlineMs;
        if (!request.isPending()
                || request.attempt() != null
                || endsMs <= nowMs
                || request.attempts() >= settings.limits().maxAttempts()) {
            int number = request.attempts();
            eventBatch.add((module, ms, nowUs) -> module.attemptEnded(
                    nowUs, request.id(), number, !request.isPending(), Outcome.UNUSED, LoadReport.NONE));
            return;
        }
        Attempt attempt = new Attempt(request, endpoint, request.attempts(), nowMs, endsMs);
        request.attempt(attempt);
        if (!endpoint.isServing() || endpoint.address() == null) {
            attemptEnded(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        attempt.waits(
                eventBatch.schedule(endsMs, () -> timeOut(attempt)),
                eventBatch.schedule(
                        nowMs + Clock.toMillis(settings.limits().connectTimeoutUs()), () -> connectTimeOut(attempt)));
        request.connector().open(attempt);
    }

    // ---- Leaving ----

    /** Ends a standing connection politely and tells the module how its flow ended. */
    private void moveNow(Request request, Outcome outcome) {
        Attempt attempt = request.attempt();
        request.client().migrate();
        if (attempt != null) {
            attemptEnded(attempt, outcome);
        }
    }

    /** A standing connection's member has gone silent: its client is sent elsewhere. */
    public void endpointUnresponsive(Attempt attempt) {
        if (!attempt.isEnded() && attempt.request().isEstablished()) {
            log.warn("endpoint " + attempt.endpoint().id() + " unresponsive: migrating its client");
            moveNow(attempt.request(), Outcome.RESET);
        }
    }

    /** Asks the client that has stood longest to move; false where none stands. */
    public boolean migrateOldest() {
        if (established.isEmpty()) {
            return false;
        }
        moveNow(established.iterator().next(), Outcome.CANCELLED);
        return true;
    }

    public NodeMetrics metrics() {
        return metrics;
    }

    /** Pool members that the list names. */
    public long listedEndpoints() {
        return endpointsChanged.listed();
    }

    /** Those of them that serve. */
    public long servingEndpoints() {
        return endpointsChanged.entries().stream()
                .filter(e -> e.status() == BalancerApi.EndpointStatus.SERVING)
                .count();
    }

    /** Those of them to which the module sends nothing new now. */
    public int ineligibleEndpoints() {
        return module.ineligibleCount(Clock.toMicros(clock.nowMs()));
    }

    /** There may be another process of this node. */
    public void hotRestartPeer(HotRestartPeer other) {
        hotRestartPeer = other;
    }

    /** Tells the module what has begun to stand in the other process, and what has ended there. */
    public void syncHotRestartPeer() {
        replicatedConnections.look(
                hotRestartPeer.peerConnections(),
                id -> endpointsChanged.get(id) != null,
                () -> ++lastId,
                id -> eventBatch.add((module, ms, nowUs) ->
                        module.attemptEnded(nowUs, id, 0, true, Outcome.CANCELLED, LoadReport.NONE)),
                (id, there) -> eventBatch.add((module, ms, nowUs) -> module.connectionAdopted(
                        nowUs,
                        new NewRequest(id, 0, -1, "", there.group(), 0, there.loadHintUsPerS(), false, false, false),
                        there.endpointId())));
    }

    /** Whether discovery has told its list since the start. */
    public boolean endpointListReceived() {
        return endpointsChanged.told();
    }

    /** Whether the operators' rules have routes. */
    public boolean hasRoutes() {
        return routing.routes();
    }

    /** How many routes use another pool than their first. */
    public int spilledRoutes() {
        return routing.spilled();
    }

    /** The share of what this node is allowed that this process may use. */
    public void quotaShare(double ofNode) {
        if (ofNode != quotaShare) {
            quotaShare = ofNode;
            eventBatch.add((module, ms, nowUs) -> module.quotaShareChanged(nowUs, ofNode));
        }
    }

    /** The longest that a client of any class waits. */
    public double longestDeadlineMs() {
        return Clock.toMillis(settings.classes().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0));
    }

    public int establishedCount() {
        return established.size();
    }

    /** The node is about to go: everything still owed is answered now, as refused only where a repeat is harmless. */
    public void rejectAllPending() {
        for (Request request : List.copyOf(requests.values())) {
            if (request.isPending()) {
                answer(request.id(), x -> {
                    if (x.mayBeRefused()) {
                        rejected(x, 0);
                    } else {
                        failed(x);
                    }
                });
                callOff(request);
            }
        }
    }
}

package tulipshed.proxy;

import java.util.List;
import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.routing.Router;
import tulipshed.time.Clock;

/**
 * The core of the proxy, between protocol frontends, endpoints and the decision module, without knowledge of any protocol.
 *
 * <p>Frontends, connectors and discovery report events here. The events of one batch are delivered to the decision module
 * together, and its decisions are then carried out in their order. The core enforces what needs no decision: one final
 * response per request, one open attempt at a time, nothing forwarded to an endpoint that is not serving, a bound on every
 * wait. Confined to the event-loop thread.
 */
public final class ProxyCore {
    private final ActiveSettings settings;
    private final EventBatch events;
    private final BalancerApi balancer;
    private final Clock clock;
    private final NodeMetrics metrics = new NodeMetrics();
    private final EndpointRegistry endpoints = new EndpointRegistry();
    private final EstablishedConnections established = new EstablishedConnections();
    private final RequestRouting routing;
    private final RouteMonitor routeMonitor;
    private final AttemptManager attempts;
    private final RequestLifecycle requests;
    private final ConnectionAdopter adopter;
    private final ConnectionMigrator migrator;
    private final EndpointDrainer drainer;
    private final HealthCheckDispatcher healthChecks;
    private final PeerMessages peerMessages;
    private final ReplicatedConnections replicatedConnections;
    private EndpointListSource endpointListSource = () -> {};
    /** Null where this node has one process only. */
    private HotRestartPeer hotRestartPeer;

    private double quotaShare = 1;

    /**
     * Creates a core without endpoints, and its decision module.
     *
     * @param seed the random seed of the decision module
     */
    public ProxyCore(
            Clock clock,
            Limits limits,
            BalancerSettings initialSettings,
            long seed,
            EventLoop loop,
            NodeLog log,
            BalancerFactory factory) {
        this.clock = clock;
        settings = new ActiveSettings(initialSettings);
        events = new EventBatch(clock, loop, log);
        routing = new RequestRouting(initialSettings, log);
        CoreContext context = new CoreContext(clock, limits, settings, events, log);
        RequestTable table = new RequestTable();
        FinalResponses responses = new FinalResponses(settings, metrics);
        routeMonitor = new RouteMonitor(context, routing, endpoints, table);
        attempts = new AttemptManager(context, table, responses, endpoints, established);
        requests = new RequestLifecycle(context, table, responses, routing, attempts);
        adopter = new ConnectionAdopter(context, table, responses, routing, endpoints, attempts);
        migrator = new ConnectionMigrator(context, table, established, attempts);
        drainer = new EndpointDrainer(context, table, attempts, migrator);
        healthChecks = new HealthCheckDispatcher(context, endpoints);
        peerMessages = new PeerMessages(context);
        replicatedConnections = new ReplicatedConnections(events, endpoints, table);
        balancer = factory.create(
                initialSettings,
                seed,
                Clock.toMicros(clock.nowMs()),
                new DecisionBuffer(decisionTargets(), events, clock, log));
        metrics.declareClasses(initialSettings.classes());
        events.start(balancer);
    }

    private DecisionBuffer.Targets decisionTargets() {
        return new DecisionBuffer.Targets(
                requests, attempts, migrator, healthChecks, peerMessages, () -> endpointListSource.watch());
    }

    // ---- Configuration ----

    /** Replaces the settings. Events reported before still reach the decision module under the old ones. */
    public void reconfigure(BalancerSettings changed) {
        settings.replace(changed);
        routing.reconfigure(changed);
        metrics.declareClasses(changed.classes());
        events.add((balancer, nowMs, nowUs) -> balancer.reconfigure(nowUs, changed));
    }

    /**
     * Replaces the operators' routing rules; null for none. Pending requests follow the new routes, established connections
     * stay where they are.
     */
    public void useRouter(Router router) {
        routeMonitor.useRouter(router);
    }

    /** Sets where the endpoint list is watched. */
    public void endpointListSource(EndpointListSource source) {
        endpointListSource = source;
    }

    /** Sets what sends health checks; without one each completes at once as unused, so that no request waits for it. */
    public void healthChecker(HealthChecker checker) {
        healthChecks.setHealthChecker(checker);
    }

    /** Sets what sends datagrams to other nodes; without one, or where the settings allow none, they are dropped. */
    public void peerSender(PeerSender sender) {
        peerMessages.setSender(sender);
    }

    /** Sets the share, from 0 to 1, that this process has of the quota of the node. */
    public void quotaShare(double shareOfNode) {
        if (shareOfNode != quotaShare) {
            quotaShare = shareOfNode;
            events.add((balancer, nowMs, nowUs) -> balancer.quotaShareChanged(nowUs, shareOfNode));
        }
    }

    /** Sets the other process of this node, to which established connections are published from now on. */
    public void hotRestartPeer(HotRestartPeer peer) {
        hotRestartPeer = peer;
        established.setHotRestartPeer(peer);
    }

    // ---- Events of frontends and connectors ----

    /** A request arrived; it gets exactly one final response. */
    public void requestArrived(Request request) {
        requests.arrived(request);
    }

    /** A connection that was established at that endpoint before this node started is to be resumed. */
    public void adoptConnection(Request request, String endpointId) {
        adopter.adopt(request, endpointId);
    }

    /**
     * Whether the attempt's first byte may be sent; to be asked once its connection is up. Not so where the endpoint has
     * started to drain or was removed while the connection was made, and where the time of the attempt or the deduplication
     * window of a retry has passed meanwhile. The latter two end the attempt as unused, which does not count against the
     * endpoint.
     */
    public boolean mayForward(Attempt attempt) {
        return attempts.mayForward(attempt);
    }

    /** An attempt has been forwarded completely to its endpoint. */
    public void attemptForwarded() {
        metrics.recordForwarded();
    }

    /** The endpoint serves the attempt; false where that comes too late and must not reach the client. */
    public boolean attemptEstablished(Attempt attempt) {
        return attempts.established(attempt);
    }

    /** The attempt ended, without a load report. */
    public void attemptEnded(Attempt attempt, Outcome outcome) {
        attempts.ended(attempt, outcome, LoadReport.NONE);
    }

    /** The attempt ended; without effect where it has ended already. */
    public void attemptEnded(Attempt attempt, Outcome outcome, LoadReport report) {
        attempts.ended(attempt, outcome, report);
    }

    /** The client disconnected; without effect where it already has its final response. */
    public void clientDisconnected(Request request) {
        requests.clientDisconnected(request);
    }

    /** The endpoint of an established attempt stopped responding: the client is migrated. */
    public void endpointUnresponsive(Attempt attempt) {
        migrator.endpointUnresponsive(attempt);
    }

    /** The endpoint of an established attempt reported its message latency, in milliseconds. */
    public void latencyReported(Attempt attempt, double latencyMs) {
        attempts.latencyReported(attempt, latencyMs);
    }

    /** The load of an established connection changed, in microseconds of work per second. */
    public void loadReported(Attempt attempt, double loadUsPerS) {
        attempts.loadReported(attempt, loadUsPerS);
    }

    // ---- Events of discovery, health checks and other nodes ----

    /** The endpoint list was updated; {@link #mayForward} follows it at once. */
    public void endpointsChanged(EndpointListKind kind, List<EndpointListEntry> entries) {
        endpoints.update(kind, entries);
        drainer.drain();
        List<EndpointInfo> infos = entries.stream().map(EndpointListEntry::info).toList();
        events.add((balancer, nowMs, nowUs) -> balancer.endpointsChanged(nowUs, kind, infos));
        if (kind != EndpointListKind.FAILED) {
            routeMonitor.endpointsChanged();
        }
    }

    /** A health check completed; the report is {@link LoadReport#NONE} where none came. */
    public void healthCheckCompleted(String endpointId, Outcome outcome, LoadReport report) {
        healthChecks.completed(endpointId, outcome, report);
    }

    /** A datagram of another node arrived; {@code from} is the index of that node, whose identity was checked. */
    public void peerMessageReceived(int from, byte[] body) {
        peerMessages.received(from, body);
    }

    /** Notifies the decision module of what changed among the connections of the other process of this node. */
    public void syncHotRestartPeer() {
        replicatedConnections.synchronize(hotRestartPeer.peerConnections());
    }

    // ---- Shutdown ----

    /** Migrates the client that has been established longest; false where none is. */
    public boolean migrateOldest() {
        return migrator.migrateOldest();
    }

    /** Answers all pending requests before the node exits, with a rejection only where a retry is harmless. */
    public void rejectAllPending() {
        requests.rejectAllPending();
        adopter.failAllWaiting();
    }

    // ---- Queries ----

    /** The counters of this node. */
    public NodeMetrics metrics() {
        return metrics;
    }

    /** How many endpoints the list names. */
    public long listedEndpoints() {
        return endpoints.listedCount();
    }

    /** How many of the listed endpoints are serving. */
    public long servingEndpoints() {
        return endpoints.servingCount();
    }

    /** Whether the list names the endpoint of that id as serving, with an address. */
    public boolean isServing(String endpointId) {
        return endpoints.isAvailable(endpointId);
    }

    /** How many of the listed endpoints get nothing new now, by decision. */
    public int ineligibleEndpoints() {
        return balancer.ineligibleCount(Clock.toMicros(clock.nowMs()));
    }

    /** Whether discovery has delivered a list since the start, other than the cached one. */
    public boolean endpointListReceived() {
        return endpoints.isListReceived();
    }

    /** How many connections are established through this process. */
    public int establishedCount() {
        return established.size();
    }

    /** Whether the routing rules have routes. */
    public boolean hasRoutes() {
        return routing.hasRoutes();
    }

    /** How many routes use another pool than their preferred one. */
    public int spilledRoutes() {
        return routing.spilledRouteCount();
    }

    /** Whether responses may end with a load report, by the settings. */
    public boolean expectsInlineLoadReports() {
        return settings.expectsInlineLoadReports();
    }

    /** The delay that a rejected client may be given: at most that of the settings, 0 where they allow none. */
    public double retryAfterMs(double wantedMs) {
        return settings.retryAfterMs(wantedMs);
    }

    /** The longest time that a client of any class waits for its final response. */
    public double longestDeadlineMs() {
        return settings.longestDeadlineMs();
    }

    /** Runs the current batch at once. For tests. */
    void runBatch() {
        events.run();
    }
}

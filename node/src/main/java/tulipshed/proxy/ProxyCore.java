package tulipshed.proxy;

import java.util.List;
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
    private final CoreComponents parts;
    private final Clock clock;
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
        parts = new CoreComponents(clock, limits, initialSettings, seed, loop, log, factory);
    }

    // ---- Configuration ----

    /** Replaces the settings. Events reported before still reach the decision module under the old ones. */
    public void reconfigure(BalancerSettings changed) {
        parts.settings.replace(changed);
        parts.routing.reconfigure(changed);
        parts.metrics.declareClasses(changed.classes());
        parts.events.add((balancer, nowMs, nowUs) -> balancer.reconfigure(nowUs, changed));
    }

    /**
     * Replaces the operators' routing rules; null for none. Pending requests follow the new routes, established connections
     * stay where they are.
     */
    public void setRouter(Router router) {
        parts.routeMonitor.setRouter(router);
    }

    /** Sets where the endpoint list is watched. */
    public void setEndpointListSource(EndpointListSource source) {
        parts.endpointListSource.set(source);
    }

    /** Sets what sends health checks; without one each completes at once as unused, so that no request waits for it. */
    public void setHealthChecker(HealthChecker checker) {
        parts.healthChecks.setHealthChecker(checker);
    }

    /** Sets what sends datagrams to other nodes; without one, or where the settings allow none, they are dropped. */
    public void setPeerSender(PeerSender sender) {
        parts.peerMessages.setSender(sender);
    }

    /** Sets the share, from 0 to 1, that this process has of the quota of the node. */
    public void setQuotaShare(double shareOfNode) {
        if (shareOfNode != quotaShare) {
            quotaShare = shareOfNode;
            parts.events.add((balancer, nowMs, nowUs) -> balancer.quotaShareChanged(nowUs, shareOfNode));
        }
    }

    /** Sets the other process of this node, to which established connections are published from now on. */
    public void setHotRestartPeer(HotRestartPeer peer) {
        hotRestartPeer = peer;
        parts.established.setHotRestartPeer(peer);
    }

    // ---- Events of frontends and connectors ----

    /** A request arrived; it gets exactly one final response. */
    public void requestArrived(Request request) {
        parts.requests.arrived(request);
    }

    /** A connection that was established at that endpoint before this node started is to be resumed. */
    public void adoptConnection(Request request, String endpointId) {
        parts.adopter.adopt(request, endpointId);
    }

    /**
     * Whether the attempt's first byte may be sent; to be asked once its connection is up. Not so where the endpoint has
     * started to drain or was removed while the connection was made, and where the time of the attempt or the deduplication
     * window of a retry has passed meanwhile. The latter two end the attempt as unused, which does not count against the
     * endpoint.
     */
    public boolean mayForward(Attempt attempt) {
        return parts.attempts.mayForward(attempt);
    }

    /** An attempt has been forwarded completely to its endpoint. */
    public void attemptForwarded() {
        parts.metrics.recordForwarded();
    }

    /** The endpoint serves the attempt; false where that comes too late and must not reach the client. */
    public boolean attemptEstablished(Attempt attempt) {
        return parts.attempts.established(attempt);
    }

    /** The attempt ended, without a load report. */
    public void attemptEnded(Attempt attempt, Outcome outcome) {
        parts.attempts.ended(attempt, outcome, LoadReport.NONE);
    }

    /** The attempt ended; without effect where it has ended already. */
    public void attemptEnded(Attempt attempt, Outcome outcome, LoadReport report) {
        parts.attempts.ended(attempt, outcome, report);
    }

    /** The client disconnected; without effect where it already has its final response. */
    public void clientDisconnected(Request request) {
        parts.requests.clientDisconnected(request);
    }

    /** The endpoint of an established attempt stopped responding: the client is migrated. */
    public void endpointUnresponsive(Attempt attempt) {
        parts.migrator.endpointUnresponsive(attempt);
    }

    /** The endpoint of an established attempt reported its message latency, in milliseconds. */
    public void latencyReported(Attempt attempt, double latencyMs) {
        parts.attempts.latencyReported(attempt, latencyMs);
    }

    /** The load of an established connection changed, in microseconds of work per second. */
    public void loadReported(Attempt attempt, double loadUsPerS) {
        parts.attempts.loadReported(attempt, loadUsPerS);
    }

    // ---- Events of discovery, health checks and other nodes ----

    /** The endpoint list was updated; {@link #mayForward} follows it at once. */
    public void endpointsChanged(EndpointListKind kind, List<EndpointListEntry> entries) {
        parts.endpoints.update(kind, entries);
        parts.drainer.drain();
        List<EndpointInfo> infos = entries.stream().map(EndpointListEntry::info).toList();
        parts.events.add((balancer, nowMs, nowUs) -> balancer.endpointsChanged(nowUs, kind, infos));
        if (kind != EndpointListKind.FAILED) {
            parts.routeMonitor.endpointsChanged();
        }
    }

    /** A health check completed; the report is {@link LoadReport#NONE} where none came. */
    public void healthCheckCompleted(String endpointId, Outcome outcome, LoadReport report) {
        parts.healthChecks.completed(endpointId, outcome, report);
    }

    /** A datagram of another node arrived; {@code from} is the index of that node, whose identity was checked. */
    public void peerMessageReceived(int from, byte[] body) {
        parts.peerMessages.received(from, body);
    }

    /** Notifies the decision module of what changed among the connections of the other process of this node. */
    public void syncHotRestartPeer() {
        parts.replicatedConnections.synchronize(hotRestartPeer.peerConnections());
    }

    // ---- Shutdown ----

    /** Migrates the client that has been established longest; false where none is. */
    public boolean migrateOldest() {
        return parts.migrator.migrateOldest();
    }

    /** Answers all pending requests before the node exits, with a rejection only where a retry is harmless. */
    public void rejectAllPending() {
        parts.requests.rejectAllPending();
        parts.adopter.failAllWaiting();
    }

    // ---- Queries ----

    /** The counters of this node. */
    public NodeMetrics metrics() {
        return parts.metrics;
    }

    /** How many endpoints the list names. */
    public long listedEndpoints() {
        return parts.endpoints.listedCount();
    }

    /** How many of the listed endpoints are serving. */
    public long servingEndpoints() {
        return parts.endpoints.servingCount();
    }

    /** Whether the list names the endpoint of that id as serving, with an address. */
    public boolean isServing(String endpointId) {
        return parts.endpoints.isAvailable(endpointId);
    }

    /** How many of the listed endpoints get nothing new now, by decision. */
    public int ineligibleEndpoints() {
        return parts.balancer.ineligibleCount(Clock.toMicros(clock.nowMs()));
    }

    /** Whether discovery has delivered a list since the start, other than the cached one. */
    public boolean endpointListReceived() {
        return parts.endpoints.isListReceived();
    }

    /** How many connections are established through this process. */
    public int establishedCount() {
        return parts.established.size();
    }

    /** Whether the routing rules have routes. */
    public boolean hasRoutes() {
        return parts.routing.hasRoutes();
    }

    /** How many routes use another pool than their preferred one. */
    public int spilledRoutes() {
        return parts.routing.spilledRouteCount();
    }

    /** Whether responses may end with a load report, by the settings. */
    public boolean expectsInlineLoadReports() {
        return parts.settings.expectsInlineLoadReports();
    }

    /** The delay that a rejected client may be given: at most that of the settings, 0 where they allow none. */
    public double retryAfterMs(double wantedMs) {
        return parts.settings.retryAfterMs(wantedMs);
    }

    /** The longest time that a client of any class waits for its final response. */
    public double longestDeadlineMs() {
        return parts.settings.longestDeadlineMs();
    }

    /** Runs the current batch at once. For tests. */
    void runBatch() {
        parts.events.run();
    }
}

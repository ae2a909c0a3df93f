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
 * The protocol-independent core of the proxy, between protocol frontends, endpoints and the decision module.
 *
 * <p>Frontends, connectors and discovery report events here. The events of one batch are delivered to the decision module
 * together, and its decisions are then carried out in order. Independently of the decisions, the core guarantees exactly
 * one final response per request, unless its client disconnects first, and at most one open attempt; it forwards no new
 * request to an endpoint that is not serving, while adopted connections may resume at a draining or removed one; and it
 * bounds every wait. Confined to the event-loop thread.
 */
public final class ProxyCore {
    private final CoreComponents components;
    private final Clock clock;
    /** Null if this node has only one process. */
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
        components = new CoreComponents(clock, limits, initialSettings, seed, loop, log, factory);
    }

    // ---- Configuration ----

    /** Replaces the settings. Events reported earlier are delivered to the decision module before the new settings. */
    public void reconfigure(BalancerSettings changed) {
        components.settings.replace(changed);
        components.routing.reconfigure(changed);
        components.metrics.declareClasses(changed.classes());
        components.events.add((balancer, nowMs, nowUs) -> balancer.reconfigure(nowUs, changed));
    }

    /**
     * Replaces the operators' routing rules; null for none. Pending requests follow the new routes, established connections
     * stay at their endpoints.
     */
    public void setRouter(Router router) {
        components.routeMonitor.setRouter(router);
    }

    /** Sets the source of the endpoint list. */
    public void setEndpointListSource(EndpointListSource source) {
        components.endpointListSource.set(source);
    }

    /** Sets the sender of health checks; without one, checks complete immediately as UNUSED, so that no request waits. */
    public void setHealthChecker(HealthChecker checker) {
        components.healthChecks.setHealthChecker(checker);
    }

    /** Sets the sender of datagrams to other nodes; they are dropped without one or if the settings disable them. */
    public void setPeerSender(PeerSender sender) {
        components.peerMessages.setSender(sender);
    }

    /** Sets the share of the quota of the node that this process has, from 0 to 1. */
    public void setQuotaShare(double shareOfNode) {
        if (shareOfNode != quotaShare) {
            quotaShare = shareOfNode;
            components.events.add((balancer, nowMs, nowUs) -> balancer.quotaShareChanged(nowUs, shareOfNode));
        }
    }

    /** Sets the other process of this node; connections established from now on are published to it. */
    public void setHotRestartPeer(HotRestartPeer peer) {
        hotRestartPeer = peer;
        components.established.setHotRestartPeer(peer);
    }

    // ---- Events of frontends and connectors ----

    /** Reports the arrival of a request, which gets exactly one final response unless its client disconnects first. */
    public void requestArrived(Request request) {
        components.requests.arrived(request);
    }

    /** Resumes a connection that was established at that endpoint before this node started. */
    public void adoptConnection(Request request, String endpointId) {
        components.adopter.adopt(request, endpointId);
    }

    /**
     * Whether the first byte of the attempt may be sent; called once its connection is up. Returns false
     *
     * <ul>
     *   <li>if the attempt timed out or the deduplication window of a retry passed while connecting. The core then ends the
     *       attempt as UNUSED, which does not count against the endpoint;
     *   <li>if the attempt has already ended, or the request is no longer pending;
     *   <li>if the endpoint started draining or was removed while connecting. An adopted connection may still resume, unless
     *       its connector requires attempts to leave a draining endpoint.
     * </ul>
     *
     * <p>Except in the first case, the attempt is recorded as connected even if the result is false, and the caller reports
     * its end with {@link #attemptEnded}, which has no effect if it has already ended.
     */
    public boolean mayForward(Attempt attempt) {
        return components.attempts.mayForward(attempt);
    }

    /** Counts an attempt that has been forwarded completely to its endpoint. */
    public void attemptForwarded() {
        components.metrics.recordForwarded();
    }

    /**
     * Reports that the endpoint serves the attempt; returns false if that is too late and must not be relayed to the client.
     */
    public boolean attemptEstablished(Attempt attempt) {
        return components.attempts.established(attempt);
    }

    /** Reports the end of an attempt without a load report. */
    public void attemptEnded(Attempt attempt, Outcome outcome) {
        components.attempts.ended(attempt, outcome, LoadReport.NONE);
    }

    /** Reports the end of an attempt; no effect if it has already ended. */
    public void attemptEnded(Attempt attempt, Outcome outcome, LoadReport report) {
        components.attempts.ended(attempt, outcome, report);
    }

    /** Reports that the client disconnected; no effect if it already has its final response. */
    public void clientDisconnected(Request request) {
        components.requests.clientDisconnected(request);
    }

    /** Migrates the client of an established attempt whose endpoint stopped responding. */
    public void endpointUnresponsive(Attempt attempt) {
        components.migrator.endpointUnresponsive(attempt);
    }

    /** Reports the message latency, in milliseconds, that the endpoint of an established attempt sent. */
    public void latencyReported(Attempt attempt, double latencyMs) {
        components.attempts.latencyReported(attempt, latencyMs);
    }

    /** Reports the new load of an established connection, in microseconds of work per second. */
    public void loadReported(Attempt attempt, double loadUsPerS) {
        components.attempts.loadReported(attempt, loadUsPerS);
    }

    // ---- Events of discovery, health checks and other nodes ----

    /** Applies an update of the endpoint list, which {@link #mayForward} takes into account immediately. */
    public void endpointsChanged(EndpointListKind kind, List<EndpointListEntry> entries) {
        components.endpoints.update(kind, entries);
        components.drainer.drain();
        List<EndpointInfo> infos = entries.stream().map(EndpointListEntry::info).toList();
        components.events.add((balancer, nowMs, nowUs) -> balancer.endpointsChanged(nowUs, kind, infos));
        if (kind != EndpointListKind.FAILED) {
            components.routeMonitor.endpointsChanged();
        }
    }

    /** Reports the result of a health check; the report is {@link LoadReport#NONE} if there is none. */
    public void healthCheckCompleted(String endpointId, Outcome outcome, LoadReport report) {
        components.healthChecks.completed(endpointId, outcome, report);
    }

    /** Reports a datagram from another node, whose index is {@code from} and whose identity has been verified. */
    public void peerMessageReceived(int from, byte[] body) {
        components.peerMessages.received(from, body);
    }

    /** Notifies the decision module of new and ended connections of the other process of this node. */
    public void syncHotRestartPeer() {
        components.replicatedConnections.synchronize(hotRestartPeer.peerConnections());
    }

    // ---- Shutdown ----

    /** Migrates the client of the oldest established connection; returns false if there is none. */
    public boolean migrateOldest() {
        return components.migrator.migrateOldest();
    }

    /**
     * Sends the client of every pending request its final response before the node exits: a rejection if a retry is harmless,
     * otherwise a failure.
     */
    public void rejectAllPending() {
        components.requests.rejectAllPending();
        components.adopter.failAllWaiting();
    }

    // ---- Queries ----

    /** The metrics of this process since its start. */
    public NodeMetrics metrics() {
        return components.metrics;
    }

    /** The number of listed endpoints. */
    public long listedEndpoints() {
        return components.endpoints.listedCount();
    }

    /** The number of listed endpoints that are serving. */
    public long servingEndpoints() {
        return components.endpoints.servingCount();
    }

    /** Whether the endpoint with that id is listed as serving and its address is known. */
    public boolean isServing(String endpointId) {
        return components.endpoints.isAvailable(endpointId);
    }

    /** The number of listed endpoints that the decision module regards as ineligible now. */
    public int ineligibleEndpoints() {
        return components.balancer.ineligibleCount(Clock.toMicros(clock.nowMs()));
    }

    /** Whether discovery has delivered a list since the start; the cached list does not count. */
    public boolean endpointListReceived() {
        return components.endpoints.isListReceived();
    }

    /** The number of connections established through this process. */
    public int establishedCount() {
        return components.established.size();
    }

    /** Whether the routing rules have routes. */
    public boolean hasRoutes() {
        return components.routing.hasRoutes();
    }

    /** The number of routes of which at least one branch does not use its preferred pool. */
    public int spilledRoutes() {
        return components.routing.spilledRouteCount();
    }

    /** Whether responses of endpoints may end with a load report, by the settings. */
    public boolean expectsInlineLoadReports() {
        return components.settings.expectsInlineLoadReports();
    }

    /** The Retry-After for a rejected client: at most the maximum of the settings, 0 if they disable it. */
    public double retryAfterMs(double wantedMs) {
        return components.settings.retryAfterMs(wantedMs);
    }

    /** The longest deadline of all classes, in milliseconds. */
    public double longestDeadlineMs() {
        return components.settings.longestDeadlineMs();
    }

    /** Runs the current batch immediately. For tests. */
    void runBatch() {
        components.events.run();
    }
}

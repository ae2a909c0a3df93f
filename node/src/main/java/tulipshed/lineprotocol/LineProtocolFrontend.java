package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.xnio.StreamConnection;
import tulipshed.config.NameIndex;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.ProxyCore;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.routing.RequestOrigin;
import tulipshed.time.Clock;
import tulipshed.transport.ConnectionLoop;
import tulipshed.transport.ProtocolErrorLog;
import tulipshed.transport.TcpConnection;

/**
 * The frontend of the platform's line protocol: accepts client connections and holds the state that their sessions share.
 * Confined to the event-loop thread.
 */
public final class LineProtocolFrontend {
    /** The name of this frontend in the operators' rules. */
    private static final String NAME = "line";

    private final FrontendContext context;
    private final OpenRequestIds openRequestIds;
    private final UnservedConnections unservedConnections;
    private final LingerTimeouts lingerTimeouts;
    private final HealthCheckConnections healthCheckConnections;
    private final Set<UpstreamConnection> establishedUpstreams = new LinkedHashSet<>();
    private NameIndex names;
    private AttributeDeclarations declarations;
    private OpenCommandParser openCommandParser;
    private boolean loadReportsLatency;
    private boolean isReady = true;
    private int clientCount;

    /**
     * Creates a frontend for the connections passed to {@link #accept}, which also checks the health of the core's
     * endpoints.
     *
     * @param loadReportsLatency whether the value of an endpoint's {@code LOAD} line is a latency rather than a load
     */
    public LineProtocolFrontend(
            Clock clock,
            Limits limits,
            NameIndex names,
            boolean loadReportsLatency,
            ConnectionLoop eventLoop,
            ProxyCore core,
            NodeLog log) {
        context = new FrontendContext(
                clock,
                limits,
                eventLoop,
                core,
                ByteBuffer.allocateDirect(limits.sockets().readBytes()),
                new ProtocolErrorLog("client", "clients rejected for malformed input", limits, log),
                new ProtocolErrorLog("upstream", "malformed upstream lines ignored", limits, log),
                new ProtocolErrorLog("client", "connections ended by a defect", limits, log),
                log.logger("upstream"));
        openRequestIds = new OpenRequestIds(eventLoop.hotRestartState(), clock, limits.lineProtocol());
        unservedConnections = new UnservedConnections(limits);
        lingerTimeouts = new LingerTimeouts(eventLoop, clock, limits.sockets().lingerTimeoutMs());
        healthCheckConnections = new HealthCheckConnections(context);
        reconfigure(names, loadReportsLatency);
        core.setHealthChecker(healthCheckConnections);
        scheduleSweep();
    }

    // ---- Settings ----

    /** Replaces the class and tenant names and the meaning of {@code LOAD}; open requests keep their class. */
    public void reconfigure(NameIndex changedNames, boolean changedLoadReportsLatency) {
        names = changedNames;
        loadReportsLatency = changedLoadReportsLatency;
        rebuildParser();
    }

    /** Replaces the attributes that the operators' rules declare for open commands; null if there are no rules. */
    public void setDeclarations(AttributeDeclarations changed) {
        declarations = changed;
        rebuildParser();
    }

    private void rebuildParser() {
        openCommandParser = new OpenCommandParser(
                names,
                declarations == null ? AttributeDeclarations.NONE : declarations,
                context.limits().lineProtocol().maxClientTimeoutMs());
    }

    /** The parser for the current settings. */
    OpenCommandParser openCommandParser() {
        return openCommandParser;
    }

    /** Whether the value of an endpoint's {@code LOAD} line is a latency rather than a load. */
    boolean loadReportsLatency() {
        return loadReportsLatency;
    }

    /** The origin of a request, as the operators' rules use it; unknown if there are no rules. */
    RequestOrigin origin(TcpConnection client, OpenCommand command) {
        return declarations == null
                ? RequestOrigin.UNKNOWN
                : RequestOrigin.of(NAME, client.remoteAddress(), command.declaredAttributes());
    }

    // ---- Clients ----

    /** Serves an accepted connection, or rejects it if no descriptor is available. */
    public void accept(StreamConnection connection) {
        evictUntilClientFits();
        boolean hasCapacity = context.eventLoop().hasCapacityForClient();
        ClientSession session = new ClientSession(this, connection);
        if (hasCapacity) {
            unservedConnections.addOpening(session);
            session.start();
        } else {
            session.rejectForOverload();
        }
    }

    /** Evicts before the client limit is reached: at the limit, further clients would wait in the backlog and evict nothing. */
    private void evictUntilClientFits() {
        boolean isEvicting = true;
        while (isEvicting && (!context.eventLoop().hasCapacityForClient() || isNearClientLimit())) {
            isEvicting = unservedConnections.evictOne();
        }
    }

    private boolean isNearClientLimit() {
        Limits limits = context.limits();
        return clientCount >= limits.maxClientConnections() - limits.sockets().maxAcceptsPerEvent();
    }

    /** The retry delay for a client rejected for lack of capacity, in milliseconds; 0 if the settings allow none. */
    double overloadRetryAfterMs() {
        return context.core().retryAfterMs(context.limits().sockets().overloadRetryAfterMs());
    }

    /** Counts a client whose connection was accepted. */
    void clientOpened() {
        clientCount++;
    }

    /** Subtracts a client whose connection was closed. */
    void clientClosed() {
        clientCount--;
    }

    // ---- Graceful shutdown ----

    /** Starts the graceful shutdown: pings of clients are no longer answered. */
    public void startShutdown() {
        isReady = false;
    }

    /** Rejects the clients whose open command has not arrived, before the node stops. */
    public void rejectOpeningClients() {
        unservedConnections.opening().forEach(ClientSession::rejectIfOpening);
    }

    /** Stops health checks after the node has stopped accepting clients. */
    public void onListenerClosed() {
        healthCheckConnections.stop();
    }

    /** Whether pings of clients are answered. */
    boolean isReady() {
        return isReady;
    }

    // ---- State shared by the sessions ----

    /** Services and state shared by all connections. */
    FrontendContext context() {
        return context;
    }

    /** The IDs that no new request may have. */
    OpenRequestIds openRequestIds() {
        return openRequestIds;
    }

    /** The connections that hold a descriptor without being served. */
    UnservedConnections unservedConnections() {
        return unservedConnections;
    }

    /** The timeouts of connections that linger after one side has ended them. */
    LingerTimeouts lingerTimeouts() {
        return lingerTimeouts;
    }

    /** Whether a descriptor is available for an upstream connection; evicts unserved connections to free one. */
    boolean ensureUpstreamCapacity() {
        boolean isEvicting = true;
        while (isEvicting && !context.eventLoop().hasCapacityForUpstream()) {
            isEvicting = unservedConnections.evictOne();
        }
        return context.eventLoop().hasCapacityForUpstream();
    }

    /** Adds an established upstream connection to the inactivity checks. */
    void upstreamEstablished(UpstreamConnection upstream) {
        establishedUpstreams.add(upstream);
    }

    /** Removes a closed upstream connection, whether it was established or not. */
    void upstreamClosed(UpstreamConnection upstream) {
        establishedUpstreams.remove(upstream);
    }

    // ---- Periodic checks ----

    private void scheduleSweep() {
        context.eventLoop().schedule(context.limits().sockets().sweepIntervalMs(), this::sweep);
    }

    private void sweep() {
        // Rescheduled first, so that an exception in this sweep does not prevent all later ones.
        scheduleSweep();
        openRequestIds.releaseExpired();
        double nowMs = context.clock().nowMs();
        List.copyOf(establishedUpstreams).forEach(upstream -> upstream.relay().checkInactivity(nowMs));
        unservedConnections.overdue(nowMs).forEach(ClientSession::onOpenTimeout);
        context.clientErrors().flush(nowMs);
        context.upstreamErrors().flush(nowMs);
        context.defects().flush(nowMs);
        healthCheckConnections.closeIdle(nowMs);
    }
}

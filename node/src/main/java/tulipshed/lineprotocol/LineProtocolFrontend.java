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
 * The frontend of the platform's line protocol: accepts client connections, and holds what their sessions share. Confined
 * to the event-loop thread.
 */
public final class LineProtocolFrontend {
    /** The name of this frontend in the operators' rules. */
    private static final String NAME = "line";

    private final FrontendContext context;
    private final OpenRequestIds openRequestIds;
    private final UnservedConnections unservedConnections;
    private final HealthCheckConnections healthCheckConnections;
    private final Set<UpstreamConnection> establishedUpstreams = new LinkedHashSet<>();
    private NameIndex names;
    private AttributeDeclarations declarations;
    private OpenCommandParser openCommandParser;
    private boolean loadReportsLatency;
    private boolean isReady = true;
    private int clientCount;

    /**
     * A frontend that accepts whatever {@link #accept} is given, and checks the health of the core's endpoints.
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
        openRequestIds = new OpenRequestIds(eventLoop.hotRestartState());
        unservedConnections = new UnservedConnections(limits);
        healthCheckConnections = new HealthCheckConnections(context);
        reconfigure(names, loadReportsLatency);
        core.setHealthChecker(healthCheckConnections);
        scheduleSweep();
    }

    // ---- Settings ----

    /** Replaces the names and the meaning of {@code LOAD}; requests that are open keep their class. */
    public void reconfigure(NameIndex changedNames, boolean changedLoadReportsLatency) {
        names = changedNames;
        loadReportsLatency = changedLoadReportsLatency;
        rebuildParser();
    }

    /** Replaces what the operators' rules declare of open commands; null if there are no rules. */
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

    /** The origin of a request for the operators' rules; unknown if there are none. */
    RequestOrigin origin(TcpConnection client, OpenCommand command) {
        return declarations == null
                ? RequestOrigin.UNKNOWN
                : RequestOrigin.of(NAME, client.remoteAddress(), command.declaredAttributes());
    }

    // ---- Clients ----

    /** Takes one accepted connection. */
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

    /** If as many were open as may be, the next clients would wait in the kernel, and nothing be evicted for them. */
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

    /** When a client that is rejected for lack of capacity may retry; 0 if the settings allow no such delay. */
    double overloadRetryAfterMs() {
        return context.core().retryAfterMs(context.limits().sockets().overloadRetryAfterMs());
    }

    /** A client's connection was taken. */
    void clientOpened() {
        clientCount++;
    }

    /** A client's connection was closed. */
    void clientClosed() {
        clientCount--;
    }

    // ---- Graceful shutdown ----

    /** The node begins to shut down: pings of clients are not answered any more. */
    public void startLeaving() {
        isReady = false;
    }

    /** The node is about to stop: rejects the clients whose open command has not arrived. */
    public void rejectWaitingClients() {
        unservedConnections.opening().forEach(ClientSession::rejectIfOpening);
    }

    /** The node accepts no more clients: health checks end. */
    public void listenerClosed() {
        healthCheckConnections.stop();
    }

    /** Whether pings of clients are answered. */
    boolean isReady() {
        return isReady;
    }

    // ---- What the sessions share ----

    /** What all connections share. */
    FrontendContext context() {
        return context;
    }

    /** The IDs of open requests. */
    OpenRequestIds openRequestIds() {
        return openRequestIds;
    }

    /** The connections that are not served. */
    UnservedConnections unservedConnections() {
        return unservedConnections;
    }

    /** Whether an upstream connection may take a descriptor; evicts unserved connections for it if need be. */
    boolean ensureUpstreamCapacity() {
        boolean isEvicting = true;
        while (isEvicting && !context.eventLoop().hasCapacityForUpstream()) {
            isEvicting = unservedConnections.evictOne();
        }
        return context.eventLoop().hasCapacityForUpstream();
    }

    /** The upstream connection is checked for inactivity from now on. */
    void upstreamEstablished(UpstreamConnection upstream) {
        establishedUpstreams.add(upstream);
    }

    /** The upstream connection is closed, whether it was established or not. */
    void upstreamClosed(UpstreamConnection upstream) {
        establishedUpstreams.remove(upstream);
    }

    // ---- Periodic checks ----

    private void scheduleSweep() {
        context.eventLoop().schedule(context.limits().sockets().sweepIntervalMs(), this::sweep);
    }

    private void sweep() {
        // First, so that a defect met in one sweep does not end all later ones.
        scheduleSweep();
        double nowMs = context.clock().nowMs();
        List.copyOf(establishedUpstreams).forEach(upstream -> upstream.relay().checkInactivity(nowMs));
        unservedConnections.overdue(nowMs).forEach(ClientSession::onOpenTimeout);
        context.clientErrors().flush(nowMs);
        context.upstreamErrors().flush(nowMs);
        context.defects().flush(nowMs);
        healthCheckConnections.closeIdle(nowMs);
    }
}

package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.xnio.StreamConnection;
import tulipshed.config.NameIndex;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.ProxyCore;
import tulipshed.routing.Declarations;
import tulipshed.routing.Origin;
import tulipshed.time.Clock;
import tulipshed.transport.ProtocolErrorLog;
import tulipshed.transport.TcpConnection;
import tulipshed.transport.XnioEventLoop;

/** The platform's front: takes client connections, and keeps what its sessions share. */
public final class LineProtocolFrontend {
    private static final String NAME = "line";

    final Clock clock;
    final Limits limits;
    private NameIndex names;
    final XnioEventLoop loop;
    final ProxyCore core;
    /** Read into by whoever reads; nothing stays in it from one listener to the next. */
    final ByteBuffer scratch;

    private final Set<UpstreamConnection> relays = new LinkedHashSet<>();
    private final Set<String> openIds = new HashSet<>();
    final UnservedConnections unserved;
    final ProtocolErrorLog complaints;
    final ProtocolErrorLog memberComplaints;
    /** Whether the figure of a member's LOAD line is a delay. */
    private boolean loadTellsDelay;

    private final HealthCheckConnections probes;
    private Declarations declarations;
    private boolean ready = true;
    private int clients;

    public LineProtocolFrontend(
            Clock clock,
            Limits limits,
            NameIndex names,
            boolean loadTellsDelay,
            XnioEventLoop loop,
            ProxyCore core,
            NodeLog log) {
        this.loadTellsDelay = loadTellsDelay;
        this.clock = clock;
        this.limits = limits;
        this.names = names;
        this.loop = loop;
        this.core = core;
        unserved = new UnservedConnections(limits);
        complaints = new ProtocolErrorLog("client", "clients rejected for malformed input", limits, log);
        memberComplaints = new ProtocolErrorLog("upstream", "malformed upstream lines ignored", limits, log);
        scratch = ByteBuffer.allocateDirect(limits.sockets().readBytes());
        probes = new HealthCheckConnections(this);
        core.healthChecker(probes);
        loop.schedule(limits.sockets().sweepIntervalMs(), this::sweep);
    }

    /** Other names, and another meaning of LOAD, from now on; connections that are open keep their class. */
    public void reconfigure(NameIndex changed, boolean tellsDelay) {
        names = changed;
        loadTellsDelay = tellsDelay;
    }

    /** What the operators' rules ask of first lines from now on; null where there are no rules. */
    public void setDeclarations(Declarations declared) {
        declarations = declared;
    }

    Declarations declarations() {
        return declarations == null ? Declarations.NONE : declarations;
    }

    /** Where a transaction came from, as far as anybody asks. */
    Origin origin(TcpConnection client, OpenCommand line) {
        return declarations == null ? Origin.UNKNOWN : Origin.of(NAME, client.peer(), line.figures());
    }

    NameIndex names() {
        return names;
    }

    boolean loadTellsDelay() {
        return loadTellsDelay;
    }

    /** Takes one accepted connection. */
    public void accept(StreamConnection connection) {
        // Where as many are open as may be, the next would wait in the kernel, and nobody would give way to them.
        while ((!loop.hasCapacityForClient()
                        || clients
                                >= limits.clientConnections() - limits.sockets().maxAcceptsPerEvent())
                && unserved.closeOne()) {}
        boolean room = loop.hasCapacityForClient();
        ClientSession session = new ClientSession(this, connection);
        if (room) {
            unserved.opens(session);
            session.start();
        } else {
            session.reject(core.retryAfterMs(limits.sockets().overloadRetryAfterMs()));
        }
    }

    /** The node is leaving: fronts that ask are not answered any more. */
    public void startLeaving() {
        ready = false;
    }

    /** The node is about to go: whoever has not sent a first line by now is told, and none is read any more. */
    public void rejectWaitingClients() {
        unserved.opening().forEach(ClientSession::turnAway);
    }

    /** The node takes no more clients: members are not probed any more. */
    public void listenerClosed() {
        probes.leave();
    }

    /** A client's connection was taken, or closed. */
    void clients(int more) {
        clients += more;
    }

    boolean ready() {
        return ready;
    }

    /** An id names one open transaction of the node, in whichever process: false where it is another's already. */
    boolean takeId(String id) {
        if (!openIds.add(id)) {
            return false;
        }
        if (!loop.hotRestartState().claimId(id)) {
            openIds.remove(id);
            return false;
        }
        return true;
    }

    void freeId(String id) {
        openIds.remove(id);
        loop.hotRestartState().releaseId(id);
    }

    /** Whether a flow may take a descriptor; who is not served gives way to it. */
    boolean roomForFlow() {
        while (!loop.hasCapacityForUpstream() && unserved.closeOne()) {}
        return loop.hasCapacityForUpstream();
    }

    void relaying(UpstreamConnection connection, boolean on) {
        if (on) {
            relays.add(connection);
        } else {
            relays.remove(connection);
        }
    }

    private void sweep() {
        double nowMs = clock.nowMs();
        List.copyOf(relays).forEach(r -> r.lookAtSilence(nowMs));
        for (ClientSession s : unserved.late(nowMs)) {
            s.neverOpened();
        }
        complaints.flush(nowMs);
        memberComplaints.flush(nowMs);
        probes.sweep(nowMs);
        loop.schedule(limits.sockets().sweepIntervalMs(), this::sweep);
    }
}

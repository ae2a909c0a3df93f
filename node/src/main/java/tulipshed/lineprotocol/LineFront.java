package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import tulipshed.config.SettingsReader.Names;
import tulipshed.limits.Limits;
import tulipshed.transport.Complaints;
import tulipshed.transport.Link;
import tulipshed.transport.XnioLoop;
import tulipshed.routing.Declarations;
import tulipshed.routing.Origin;
import tulipshed.time.Clock;
import tulipshed.proxy.TransactionCore;

/** The platform's front: takes client connections, and keeps what its sessions share. */
public final class LineFront {
    private static final String NAME = "line";

    final Clock clock;
    final Limits limits;
    private Names names;
    final XnioLoop loop;
    final TransactionCore core;
    final Consumer<String> log;
    /** Read into by whoever reads; nothing stays in it from one listener to the next. */
    final ByteBuffer scratch;

    private final Set<MemberConnection> relays = new LinkedHashSet<>();
    private final Set<String> openIds = new HashSet<>();
    final Unserved unserved;
    final Complaints complaints;
    final Complaints memberComplaints;
    /** Whether the figure of a member's LOAD line is a delay. */
    private boolean loadTellsDelay;

    private final MemberProbes probes;
    private Declarations declarations;
    private boolean ready = true;
    private int clients;

    public LineFront(
            Clock clock,
            Limits limits,
            Names names,
            boolean loadTellsDelay,
            XnioLoop loop,
            TransactionCore core,
            Consumer<String> log) {
        this.loadTellsDelay = loadTellsDelay;
        this.clock = clock;
        this.limits = limits;
        this.names = names;
        this.loop = loop;
        this.core = core;
        this.log = log;
        unserved = new Unserved(limits);
        complaints = new Complaints("clients turned away for what they sent", limits, log);
        memberComplaints = new Complaints("what members sent and cannot be used", limits, log);
        scratch = ByteBuffer.allocateDirect(limits.sockets().readBytes());
        probes = new MemberProbes(this);
        core.prober(probes);
        loop.after(limits.sockets().sweepMs(), this::sweep);
    }

    /** Other names, and another meaning of LOAD, from now on; connections that are open keep their class. */
    public void reconfigure(Names changed, boolean tellsDelay) {
        names = changed;
        loadTellsDelay = tellsDelay;
    }

    /** What the operators' rules ask of first lines from now on; null where there are no rules. */
    public void declare(Declarations declared) {
        declarations = declared;
    }

    Declarations declarations() {
        return declarations == null ? Declarations.NONE : declarations;
    }

    /** Where a transaction came from, as far as anybody asks. */
    Origin origin(Link client, OpeningLine line) {
        return declarations == null ? Origin.UNKNOWN : Origin.of(NAME, client.peer(), line.figures());
    }

    Names names() {
        return names;
    }

    boolean loadTellsDelay() {
        return loadTellsDelay;
    }

    /** Takes one accepted connection. */
    public void accepted(StreamConnection connection) {
        // Where as many are open as may be, the next would wait in the kernel, and nobody would give way to them.
        while ((!loop.hasRoom()
                        || clients
                                >= limits.clientConnections() - limits.sockets().acceptsAtOnce())
                && unserved.closeOne()) {}
        boolean room = loop.hasRoom();
        ClientSession session = new ClientSession(this, connection);
        if (room) {
            unserved.opens(session);
            session.start();
        } else {
            session.reject(core.retryAfterMs(limits.sockets().noRoomRetryMs()));
        }
    }

    /** The node is leaving: fronts that ask are not answered any more. */
    public void leaving() {
        ready = false;
    }

    /** The node is about to go: whoever has not sent a first line by now is told, and none is read any more. */
    public void turnAway() {
        unserved.opening().forEach(ClientSession::turnAway);
    }

    /** The node takes no more clients: members are not probed any more. */
    public void closed() {
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
        if (!loop.siblings().take(id)) {
            openIds.remove(id);
            return false;
        }
        return true;
    }

    void freeId(String id) {
        openIds.remove(id);
        loop.siblings().free(id);
    }

    /** Whether a flow may take a descriptor; who is not served gives way to it. */
    boolean roomForFlow() {
        while (!loop.hasRoomForFlow() && unserved.closeOne()) {}
        return loop.hasRoomForFlow();
    }

    void relaying(MemberConnection connection, boolean on) {
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
        complaints.tell(nowMs);
        memberComplaints.tell(nowMs);
        probes.sweep(nowMs);
        loop.after(limits.sockets().sweepMs(), this::sweep);
    }
}

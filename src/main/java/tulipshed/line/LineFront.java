package tulipshed.line;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import tulipshed.config.SettingsReader.Names;
import tulipshed.limits.Limits;
import tulipshed.link.XnioLoop;
import tulipshed.time.Clock;
import tulipshed.transaction.TransactionCore;

/** The platform's front: takes client connections, and keeps what its sessions share. */
public final class LineFront {
    private static final double SWEEP_MS = 250;

    final Clock clock;
    final Limits limits;
    final Names names;
    final XnioLoop loop;
    final TransactionCore core;
    final Consumer<String> log;
    /** Read into by whoever reads; nothing stays in it from one listener to the next. */
    final ByteBuffer scratch;
    private final Set<MemberConnection> relays = new LinkedHashSet<>();
    private final Set<ClientSession> opening = new LinkedHashSet<>();
    /** Whether the figure of a member's LOAD line is a delay. */
    final boolean loadTellsDelay;
    private boolean ready = true;

    public LineFront(Clock clock, Limits limits, Names names, boolean loadTellsDelay, XnioLoop loop,
            TransactionCore core, Consumer<String> log) {
        this.loadTellsDelay = loadTellsDelay;
        this.clock = clock;
        this.limits = limits;
        this.names = names;
        this.loop = loop;
        this.core = core;
        this.log = log;
        scratch = ByteBuffer.allocateDirect(limits.readBytes());
        loop.after(SWEEP_MS, this::sweep);
    }

    /** Takes one accepted connection. */
    public void accepted(StreamConnection connection) {
        boolean room = loop.hasRoom();
        ClientSession session = new ClientSession(this, connection);
        if (room) {
            opening.add(session);
            session.start();
        } else {
            session.reject(0);
        }
    }

    /** The node is leaving: fronts that ask are not answered any more. */
    public void leaving() {
        ready = false;
    }

    boolean ready() {
        return ready;
    }

    void opened(ClientSession session) {
        opening.remove(session);
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
        List<ClientSession> late = new ArrayList<>();
        for (ClientSession s : opening) {
            if (nowMs - s.sinceMs() < limits.firstLineMs()) {
                break;
            }
            late.add(s);
        }
        for (ClientSession s : late) {
            log.accept("no first line came in time");
            s.neverOpened();
        }
        loop.after(SWEEP_MS, this::sweep);
    }
}

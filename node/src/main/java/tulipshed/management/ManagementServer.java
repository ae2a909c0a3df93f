package tulipshed.management;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.xnio.StreamConnection;
import tulipshed.limits.Limits;
import tulipshed.management.ManagementSession.Answer;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.Acceptor;
import tulipshed.transport.XnioEventLoop;

/**
 * The second address, for staff and their tools. Its connections are few, short and apart from the clients': when
 * there are too many, the oldest give way, those that have their answer first.
 */
public final class ManagementServer {
    final Clock clock;
    final Limits limits;
    final ByteBuffer scratch;
    private final XnioEventLoop loop;
    private final ProxyCore core;
    private final BooleanSupplier serves;
    private final Set<ManagementSession> calling = new LinkedHashSet<>();
    private final Set<ManagementSession> answered = new LinkedHashSet<>();
    private final Acceptor server;

    /** Listens at once; {@code serves} says whether this process takes clients now. */
    public ManagementServer(
            InetSocketAddress address,
            Clock clock,
            Limits limits,
            XnioEventLoop loop,
            ProxyCore core,
            BooleanSupplier serves)
            throws IOException {
        this.clock = clock;
        this.limits = limits;
        this.loop = loop;
        this.core = core;
        this.serves = serves;
        scratch = ByteBuffer.allocate(limits.management().headBytes());
        // As many again as are kept, so that there is always one that makes the oldest give way.
        server = loop.listen(address, 2 * limits.management().connections(), this::accepted);
        loop.schedule(limits.sockets().sweepIntervalMs(), this::sweep);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Ends its listening and what is open. */
    public void close() {
        server.close();
        List.copyOf(calling).forEach(ManagementSession::close);
        List.copyOf(answered).forEach(ManagementSession::close);
    }

    private void accepted(StreamConnection connection) {
        if (calling.size() + answered.size() >= limits.management().connections()) {
            (answered.isEmpty() ? calling : answered).iterator().next().close();
        }
        ManagementSession session = new ManagementSession(this, connection);
        calling.add(session);
        session.start();
    }

    void answered(ManagementSession session) {
        calling.remove(session);
        answered.add(session);
    }

    void closed(ManagementSession session) {
        calling.remove(session);
        answered.remove(session);
    }

    Answer answer(String method, String path) {
        boolean metrics = path.equals("/status/metrics");
        if (!metrics && !path.equals("/status")) {
            return Answer.plain(404, "Not Found", "there are /status and /status/metrics");
        } else if (!method.equals("GET")) {
            return Answer.plain(405, "Method Not Allowed", "only GET");
        } else if (metrics) {
            return new Answer(200, "OK", "application/json", "", MetricsWriter.json(core));
        }
        return serves.getAsBoolean()
                ? Answer.plain(200, "OK", "serves")
                : Answer.plain(503, "Service Unavailable", "does not serve");
    }

    private void sweep() {
        double longAgoMs = clock.nowMs() - limits.management().requestTimeoutMs();
        for (Set<ManagementSession> some : List.of(calling, answered)) {
            List.copyOf(some).stream().filter(s -> s.sinceMs() < longAgoMs).forEach(ManagementSession::late);
        }
        loop.schedule(limits.sockets().sweepIntervalMs(), this::sweep);
    }
}

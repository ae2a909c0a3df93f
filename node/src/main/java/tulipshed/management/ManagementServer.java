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
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.Acceptor;
import tulipshed.transport.XnioEventLoop;

/**
 * The HTTP server for operators and their tools, on its own address. Its connections are few, short-lived and counted
 * separately from those of clients. At the limit the oldest connection is closed, preferably one that already has its
 * response. Confined to the event-loop thread.
 */
public final class ManagementServer {
    /** The HTTP paths, which are external names. */
    private static final String STATUS_PATH = "/status";

    private static final String METRICS_PATH = "/status/metrics";

    private final Clock clock;
    private final Limits limits;
    private final XnioEventLoop loop;
    private final ProxyCore core;
    private final BooleanSupplier isServing;
    private final ByteBuffer readBuffer;
    /** Sessions without and with a response, each oldest first. */
    private final Set<ManagementSession> awaitingRequest = new LinkedHashSet<>();

    private final Set<ManagementSession> responded = new LinkedHashSet<>();
    private final Acceptor acceptor;

    /**
     * Creates a server and starts listening.
     *
     * @param isServing whether this process currently accepts clients
     * @throws IOException if the address cannot be bound
     */
    public ManagementServer(
            InetSocketAddress address,
            Clock clock,
            Limits limits,
            XnioEventLoop loop,
            ProxyCore core,
            BooleanSupplier isServing)
            throws IOException {
        this.clock = clock;
        this.limits = limits;
        this.loop = loop;
        this.core = core;
        this.isServing = isServing;
        readBuffer = ByteBuffer.allocate(limits.management().maxHeadBytes());
        // Twice the number kept open, so that a new connection can always be accepted before the oldest is closed.
        acceptor = loop.listen(address, 2 * limits.management().connections(), this::onAccepted);
        loop.schedule(limits.sockets().sweepIntervalMs(), this::sweep);
    }

    /** The address that the server listens on. */
    public InetSocketAddress address() {
        return acceptor.address();
    }

    /** Stops listening and closes all connections. */
    public void close() {
        acceptor.close();
        List.copyOf(awaitingRequest).forEach(ManagementSession::close);
        List.copyOf(responded).forEach(ManagementSession::close);
    }

    private void onAccepted(StreamConnection connection) {
        if (awaitingRequest.size() + responded.size() >= limits.management().connections()) {
            evictOldest();
        }
        ManagementSession session = new ManagementSession(this, connection, limits, readBuffer, clock);
        awaitingRequest.add(session);
        session.start();
    }

    private void evictOldest() {
        Set<ManagementSession> candidates = responded.isEmpty() ? awaitingRequest : responded;
        candidates.iterator().next().close();
    }

    /** Records that a session is about to write its response. */
    void onResponded(ManagementSession session) {
        awaitingRequest.remove(session);
        responded.add(session);
    }

    /** Removes a session that is closing its connection. */
    void onClosed(ManagementSession session) {
        awaitingRequest.remove(session);
        responded.remove(session);
    }

    /** The response to a request. */
    HttpResponse handle(String method, String path) {
        boolean isMetrics = path.equals(METRICS_PATH);
        if (!isMetrics && !path.equals(STATUS_PATH)) {
            return HttpResponse.text(404, "Not Found", "there are /status and /status/metrics");
        }
        if (!method.equals("GET")) {
            return HttpResponse.methodNotAllowed();
        }
        return isMetrics ? HttpResponse.json(MetricsWriter.json(core)) : status();
    }

    private HttpResponse status() {
        return isServing.getAsBoolean()
                ? HttpResponse.text(200, "OK", "serves")
                : HttpResponse.text(503, "Service Unavailable", "does not serve");
    }

    private void sweep() {
        double nowMs = clock.nowMs();
        // Sessions with a response first: one that gets its response in this sweep keeps a sweep interval to read it.
        List.copyOf(responded).stream()
                .filter(session -> session.isOverdue(nowMs))
                .forEach(ManagementSession::closeAfterRead);
        List.copyOf(awaitingRequest).stream()
                .filter(session -> session.isOverdue(nowMs))
                .forEach(ManagementSession::onRequestTimeout);
        loop.schedule(limits.sockets().sweepIntervalMs(), this::sweep);
    }
}

package tulipshed.quic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import tulipshed.config.NameIndex;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.UdpSocket;
import tulipshed.transport.XnioEventLoop;

/**
 * The frontend for QUIC (RFC 9000, RFC 9369): forwards datagrams by connection ID between clients and endpoints. The node holds
 * no keys but those of Initial packets, which follow from their headers (RFC 9001 section 5.2). Confined to the event-loop
 * thread.
 */
public final class QuicFrontend {
    private static final double SWEEP_INTERVAL_MS = 250;

    private final QuicContext context;
    private final XnioEventLoop loop;
    private final ByteBuffer scratch;
    private final DatagramDemultiplexer demultiplexer;
    private final List<UdpSocket> listeners = new ArrayList<>();

    /**
     * Opens the sockets of the frontend; call it on the event-loop thread.
     *
     * @throws IOException if an address cannot be bound
     */
    public QuicFrontend(
            Clock clock,
            Limits limits,
            QuicConfig config,
            NameIndex names,
            XnioEventLoop loop,
            ProxyCore core,
            NodeLog log)
            throws IOException {
        this.loop = loop;
        scratch = ByteBuffer.allocateDirect(limits.quic().datagramBytes());
        RandomGenerator random = new SecureRandom();
        QuicSettings settings = new QuicSettings(config, names);
        QuicMetrics metrics = new QuicMetrics();
        ConnectionTable table = new ConnectionTable();
        UpstreamSocketPool sockets =
                new UpstreamSocketPool(loop, config.listen().getAddress(), scratch, metrics, limits, log);
        context = new QuicContext(
                clock,
                limits,
                settings,
                metrics,
                table,
                sockets,
                new ConnectionAdmission(limits, table, sockets, loop, metrics),
                new StatelessResetSender(settings, metrics, random),
                core,
                this::receiveAvailable);
        demultiplexer = new DatagramDemultiplexer(context, loop, new ConnectionOpener(context, random));
        publishMetrics();
        listen(config.listen());
        if (config.preferred() != null) {
            listen(config.preferred());
        }
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    }

    private void publishMetrics() {
        for (QuicCounter counter : QuicCounter.values()) {
            context.core()
                    .metrics()
                    .registerFrontendCounter(
                            counter.metricName(), () -> context.metrics().get(counter));
        }
        context.core().metrics().registerFrontendCounter("quic_connections", context.table()::sessionCount);
        context.core().metrics().registerFrontendCounter("quic_ids", context.table()::idCount);
        context.core().metrics().registerFrontendCounter("quic_flow_sockets", context.sockets()::count);
    }

    private void listen(InetSocketAddress address) throws IOException {
        UdpSocket[] listener = new UdpSocket[1];
        try {
            listener[0] = loop.bindUdp(address, scratch, (from, datagram) -> {
                context.metrics().count(QuicCounter.DATAGRAMS);
                demultiplexer.receive(listener[0], from, datagram);
            });
        } catch (IOException e) {
            // Sockets that are bound already are closed, as the frontend is not open and may be opened again.
            close();
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
        listeners.add(listener[0]);
    }

    /** Reads datagrams of clients whose arrival was not notified yet, as many as one event reads. */
    void receiveAvailable() {
        List.copyOf(listeners).forEach(UdpSocket::receiveBatch);
    }

    /** The address of the first listener. */
    public InetSocketAddress address() {
        return listeners.get(0).address();
    }

    /** The server's preferred address (RFC 9000 section 9.6), where the frontend listens too; null where there is none. */
    InetSocketAddress preferredAddress() {
        return listeners.size() < 2 ? null : listeners.get(1).address();
    }

    /** What the connections share; for tests. */
    QuicContext context() {
        return context;
    }

    /** Replaces the names of request classes and tenants; open connections keep their class. */
    public void reconfigure(NameIndex names) {
        context.settings().update(names);
    }

    /**
     * Replaces the configurations of connection IDs, the keys and the thresholds; the listeners stay. Open connections
     * continue, also those of a configuration that is gone.
     */
    public void reconfigure(QuicConfig config) {
        context.settings().update(config);
    }

    /** Accepts no new connections from now on. */
    public void startDraining() {
        context.admission().startDraining();
    }

    /** Closes the listeners. */
    public void close() {
        listeners.forEach(UdpSocket::close);
    }

    private void sweep() {
        double nowMs = context.clock().nowMs();
        context.table().sessions().forEach(session -> session.checkTimeouts(nowMs));
        context.sockets().sweep(nowMs);
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    }
}

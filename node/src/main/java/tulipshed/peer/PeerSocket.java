package tulipshed.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import tulipshed.config.PeerConfig;
import tulipshed.decision.api.BalancerActions;
import tulipshed.limits.Limits;
import tulipshed.limits.PeerLimits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.NodeMetrics;
import tulipshed.proxy.PeerSender;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.ProtocolErrorLog;
import tulipshed.transport.UdpSocket;
import tulipshed.transport.XnioEventLoop;

/**
 * Transport of messages between the nodes of a tier, with one UDP datagram for each message.
 *
 * <p>The socket is open only while the configuration contains an address; otherwise nothing is sent. A datagram is
 * accepted if it comes from the configured address of another node, is not longer than {@link PeerLimits#maxBodyBytes},
 * and is within the quota of its sender; any other datagram is dropped and counted, except that empty datagrams are
 * ignored and never counted. The receiver has to handle lost, delayed and duplicated messages. Confined to the
 * event-loop thread.
 */
public final class PeerSocket implements PeerSender {
    private final Clock clock;
    private final PeerLimits limits;
    private final XnioEventLoop loop;
    private final ProxyCore core;
    private final ProtocolErrorLog errors;
    private final ByteBuffer readBuffer;

    /** Null while peer messages are disabled. */
    private PeerConfig config;

    private Map<InetSocketAddress, SenderQuota> senders = Map.of();

    /** Null while closed. */
    private UdpSocket socket;

    private long sent;
    private long notSent;
    private long received;
    private long dropped;

    /**
     * Creates a closed socket and registers it and its counters with the core. {@link #retryBind} opens it after {@link
     * #configure} has set an address.
     */
    public PeerSocket(Clock clock, Limits limits, XnioEventLoop loop, ProxyCore core, NodeLog log) {
        this.clock = clock;
        this.limits = limits.peers();
        this.loop = loop;
        this.core = core;
        // Failed attempts to bind the address are counted in this log too.
        errors = new ProtocolErrorLog("peer", "peer datagrams dropped", limits, log);
        // One byte longer than the limit, so that a datagram that is too long can be detected.
        readBuffer = ByteBuffer.allocateDirect(this.limits.maxBodyBytes() + 1);
        core.setPeerSender(this);
        publishCounters(core.metrics());
    }

    /** Registers the counters with the metrics under their external names. */
    private void publishCounters(NodeMetrics metrics) {
        metrics.registerFrontendCounter("peers_sent", () -> sent);
        metrics.registerFrontendCounter("peers_not_sent", () -> notSent);
        metrics.registerFrontendCounter("peers_received", () -> received);
        metrics.registerFrontendCounter("peers_dropped", () -> dropped);
    }

    /**
     * Replaces the configured addresses. A socket whose address is no longer configured is closed at once; {@link
     * #retryBind} opens the next one.
     *
     * @param newConfig the new configuration, null to disable messages
     */
    public void configure(PeerConfig newConfig) {
        if (socket != null && (newConfig == null || !newConfig.listen().equals(config.listen()))) {
            close();
        }
        if (!Objects.equals(newConfig, config)) {
            config = newConfig;
            senders = newConfig == null ? Map.of() : senders(newConfig);
        }
    }

    private static Map<InetSocketAddress, SenderQuota> senders(PeerConfig config) {
        Map<InetSocketAddress, SenderQuota> senders = new HashMap<>();
        for (int i = 0; i < config.peers().size(); i++) {
            if (i != config.nodeIndex()) {
                senders.put(config.peers().get(i), new SenderQuota(i));
            }
        }
        return senders;
    }

    /** Opens the socket if it is configured and closed and its address is free, and logs dropped datagrams. */
    public void retryBind() {
        if (config != null && socket == null) {
            try {
                socket = loop.bindUdp(config.listen(), readBuffer, this::onDatagram);
            } catch (IOException e) {
                // The other process of a hot restart may still hold the address. Until it is free, the node runs
                // without peer messages. The failure is counted with the dropped datagrams.
                errors.record("cannot bind the address");
            }
        }
        errors.flush(clock.nowMs());
    }

    /** Whether the socket is open. */
    public boolean isOpen() {
        return socket != null;
    }

    /** Closes the socket; {@link #retryBind} opens it again. */
    public void close() {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>A message that cannot be sent is counted and dropped: a message to an unknown node or to this node itself, an
     * empty message, one that is too long, one that the kernel does not accept, or any message while the socket is
     * closed.
     */
    @Override
    public void send(int peer, byte[] body) {
        if (socket == null || !isRecipient(peer) || body.length == 0 || body.length > limits.maxBodyBytes()) {
            notSent++;
            return;
        }
        InetSocketAddress to = peer == BalancerActions.ALL_PEERS
                ? config.broadcast()
                : config.peers().get(peer);
        if (socket.send(to, body)) {
            sent++;
        } else {
            notSent++;
        }
    }

    /** Whether {@code peer} is the index of another node or the constant for all peers. */
    private boolean isRecipient(int peer) {
        if (config == null) {
            return false;
        }
        boolean otherNode = peer >= 0 && peer < config.peers().size() && peer != config.nodeIndex();
        return otherNode || peer == BalancerActions.ALL_PEERS;
    }

    private void onDatagram(InetSocketAddress from, byte[] datagram) {
        SenderQuota sender = senders.get(from);
        if (sender == null) {
            drop("unknown sender");
        } else if (datagram.length > limits.maxBodyBytes()) {
            drop("datagram too long");
        } else if (!sender.tryAcquire(clock.nowMs(), limits.maxPerSenderPerSecond())) {
            drop("sender over its quota");
        } else {
            received++;
            core.peerMessageReceived(sender.nodeIndex(), datagram);
        }
    }

    private void drop(String reason) {
        dropped++;
        errors.record(reason);
    }
}

package tulipshed.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import tulipshed.config.PeerConfig;
import tulipshed.decision.BalancerApi.Actions;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.PeerSender;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.ProtocolErrorLog;
import tulipshed.transport.UdpSocket;
import tulipshed.transport.XnioEventLoop;

/**
 * Datagrams between the nodes of a tier: transport alone. Open only while the configuration names an address and the
 * settings allow it; else there is no socket and nothing is sent. A datagram is taken where it comes from the address
 * that the configuration gives for another node, is 1 to 256 bytes long, and is not one too many of that node's second;
 * any other is dropped and counted. Lost, late and repeated ones are the receiver's to bear. Used on the loop only.
 */
public final class PeerSocket implements PeerSender {
    private static final double SECOND_MS = 1000;

    private final Clock clock;
    private final Limits limits;
    private final XnioEventLoop loop;
    private final ProxyCore core;
    private final ProtocolErrorLog complaints;
    private final ByteBuffer scratch;
    private PeerConfig config;
    private Map<InetSocketAddress, Sender> senders = Map.of();
    private UdpSocket port;
    private long sent;
    private long unsent;
    private long taken;
    private long dropped;

    /** Another node, by its number, and what was taken of it since its second began. */
    private static final class Sender {
        private final int number;
        private double sinceMs = Double.NEGATIVE_INFINITY;
        private int count;

        Sender(int number) {
            this.number = number;
        }

        boolean tooMany(double nowMs, int perSecond) {
            if (nowMs >= sinceMs + SECOND_MS) {
                sinceMs = nowMs;
                count = 0;
            }
            return ++count > perSecond;
        }
    }

    /** A port that is off until {@link #configure} and {@link #retryBind}. */
    public PeerSocket(Clock clock, Limits limits, XnioEventLoop loop, ProxyCore core, NodeLog log) {
        this.clock = clock;
        this.limits = limits;
        this.loop = loop;
        this.core = core;
        complaints = new ProtocolErrorLog("peer", "peer datagrams dropped", limits, log);
        // One byte more, by which a datagram that is too long shows.
        scratch = ByteBuffer.allocateDirect(limits.peers().maxBodyBytes() + 1);
        core.peerSender(this);
        core.metrics().frontendCounters("peers_sent", () -> sent);
        core.metrics().frontendCounters("peers_not_sent", () -> unsent);
        core.metrics().frontendCounters("peers_received", () -> taken);
        core.metrics().frontendCounters("peers_dropped", () -> dropped);
    }

    /** Other addresses from now on, or null for none; a socket that is not wanted any more is closed at once. */
    public void configure(PeerConfig changed) {
        if (port != null && (changed == null || !changed.listen().equals(config.listen()))) {
            close();
        }
        if (!Objects.equals(changed, config)) {
            config = changed;
            senders = new HashMap<>();
            for (int i = 0; changed != null && i < changed.peers().size(); i++) {
                if (i != changed.nodeIndex()) {
                    senders.put(changed.peers().get(i), new Sender(i));
                }
            }
        }
    }

    /** Opens the socket where it is wanted and the address is free; tells the log of what was dropped. */
    public void retryBind() {
        if (config != null && port == null) {
            try {
                port = loop.bindUdp(config.listen(), scratch, this::received);
            } catch (IOException e) {
                // Another process of this node may hold it still; talk only adds, so the node serves without.
                complaints.record("an address that cannot be listened on");
            }
        }
        complaints.flush(clock.nowMs());
    }

    /** Whether other nodes can be heard. */
    public boolean isOpen() {
        return port != null;
    }

    /** Ends it; {@link #retryBind} opens it again. */
    public void close() {
        if (port != null) {
            port.close();
            port = null;
        }
    }

    @Override
    public void send(int peer, byte[] body) {
        boolean all = peer == Actions.ALL_PEERS;
        boolean known =
                config != null && (all || (peer >= 0 && peer < config.peers().size() && peer != config.nodeIndex()));
        if (port == null
                || !known
                || body.length == 0
                || body.length > limits.peers().maxBodyBytes()) {
            unsent++;
            return;
        }
        sent++;
        port.send(all ? config.broadcast() : config.peers().get(peer), body);
    }

    private void received(InetSocketAddress from, byte[] datagram) {
        Sender sender = senders.get(from);
        if (sender == null) {
            drop("a stranger");
        } else if (datagram.length > limits.peers().maxBodyBytes()) {
            drop("one that is too long");
        } else if (sender.tooMany(clock.nowMs(), limits.peers().maxPerSenderPerSecond())) {
            drop("one too many of a second");
        } else {
            taken++;
            core.peerMessageReceived(sender.number, datagram);
        }
    }

    private void drop(String why) {
        dropped++;
        complaints.record(why);
    }
}

package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;
import tulipshed.connectionid.ConnectionId;
import tulipshed.transport.UdpSocket;

/** Sends stateless resets (RFC 9000 section 10.3) under the key that the node shares with the servers. */
final class StatelessResetSender {
    private final QuicSettings settings;
    private final QuicMetrics metrics;
    private final RandomGenerator random;

    /** Sends resets under the key of {@code settings}. */
    StatelessResetSender(QuicSettings settings, QuicMetrics metrics, RandomGenerator random) {
        this.settings = settings;
        this.metrics = metrics;
        this.random = random;
    }

    /** Sends a reset for an ID, shorter than the {@code triggerBytes} of the datagram that it answers. */
    void send(UdpSocket listener, InetSocketAddress client, ConnectionId id, int triggerBytes) {
        metrics.count(QuicCounter.RESETS_SENT);
        listener.send(client, settings.config().reset().datagram(id, triggerBytes, random));
    }
}

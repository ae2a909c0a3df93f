package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import tulipshed.transport.UdpSocket;

/**
 * Datagrams of those that nothing is known of, waiting for a moment in which nobody else does. Opening a stranger's packet takes
 * ten times as long as passing one of a known connection on, so taken in turn a flood of strangers would take nearly all of the
 * time. A bounded number wait, for a few milliseconds at most; over it the next are dropped before they cost anything, as the
 * kernel would drop them, and what is known with them. Without I/O.
 */
final class UnknownDatagramQueue {
    private final int most;
    private final ArrayDeque<Datagram> waiting = new ArrayDeque<>();

    /** One datagram, where it was heard, what was read of it, and where the id of a short header leads, null for nowhere. */
    record Datagram(
            UdpSocket listener,
            InetSocketAddress from,
            byte[] bytes,
            List<Packet> packets,
            ConnectionIdConfigurations.Place place) {

        Packet first() {
            return packets.get(0);
        }
    }

    UnknownDatagramQueue(int most) {
        this.most = most;
    }

    /** Takes one, unless too many wait. */
    boolean offer(Datagram d) {
        return waiting.size() < most && waiting.add(d);
    }

    /** The one that has waited for longest, or null. */
    Datagram poll() {
        return waiting.poll();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }
}

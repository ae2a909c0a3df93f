package tulipshed.quic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.link.DatagramPort;
import tulipshed.transaction.ServerSideFlow;

/** One flow's own UDP socket towards its member, and whether anything comes back on it. */
final class FlowSide {
    private final QuicFront front;
    private final ServerSideFlow flow;
    private DatagramPort port;
    private double unansweredSinceMs = Double.NaN;
    private int unanswered;

    private FlowSide(QuicFront front, ServerSideFlow flow) {
        this.front = front;
        this.flow = flow;
    }

    /** Opens it; null, and the core told why, where it may not be sent to or there is no descriptor for it. */
    static FlowSide open(QuicFront front, ServerSideFlow flow, Consumer<byte[]> heard) {
        if (!front.core.maySend(flow)) {
            front.core.ended(flow, Outcome.CONNECT_FAILED);
            return null;
        }
        if (!front.loop.hasRoomForFlow()) {
            // Our own want of descriptors; it says nothing of the member.
            front.core.ended(flow, Outcome.UNUSED);
            return null;
        }
        FlowSide side = new FlowSide(front, flow);
        try {
            side.port = front.loop.datagrams(new InetSocketAddress(front.address().getAddress(), 0), front.scratch,
                    (from, datagram) -> side.heard(from, datagram, heard));
            return side;
        } catch (IOException e) {
            front.log.accept("no socket for a flow: " + e.getMessage());
            front.core.ended(flow, Outcome.UNUSED);
            return null;
        }
    }

    /** Only from its member, and only while the socket is the flow's. */
    private void heard(InetSocketAddress from, byte[] datagram, Consumer<byte[]> to) {
        if (port != null && from.equals(flow.member().address())) {
            to.accept(datagram);
        }
    }

    /** The member has sent what is a packet of QUIC. */
    void answered() {
        unanswered = 0;
        unansweredSinceMs = Double.NaN;
    }

    /** Every datagram is a sending of its own: from the news of a drain on, none goes there any more. */
    void send(byte[] datagram, double nowMs) {
        if (port != null && flow.member().serving()) {
            if (Double.isNaN(unansweredSinceMs)) {
                unansweredSinceMs = nowMs;
            }
            unanswered++;
            port.send(flow.member().address(), datagram);
        }
    }

    /** Whether that many datagrams have gone out for longer than a member may be silent, and nothing came back. */
    boolean silent(double nowMs) {
        return unanswered >= front.limits.quic().unanswered()
                && nowMs - unansweredSinceMs > front.limits.transactions().silentMs();
    }

    void close() {
        if (port != null) {
            port.close();
            port = null;
        }
    }
}

package tulipshed.quic;

import java.util.function.Consumer;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;

/** One path's place on a socket towards its member, and whether anything comes back there. */
final class UpstreamFlow {
    private final QuicFrontend front;
    private final Attempt flow;
    private UpstreamSocketPool.Seat seat;
    private double unansweredSinceMs = Double.NaN;
    private int unanswered;

    private UpstreamFlow(QuicFrontend front, Attempt attempt) {
        this.front = front;
        this.flow = attempt;
    }

    /** Opens a flow's first; null, and the core told why, where it may not be sent to or there is no socket for it. */
    static UpstreamFlow open(QuicFrontend front, Attempt attempt, Consumer<byte[]> heard) {
        if (!front.core.mayForward(attempt)) {
            front.core.attemptEnded(attempt, Outcome.CONNECT_FAILED);
            return null;
        }
        UpstreamFlow side = further(front, attempt, heard);
        if (side == null) {
            // A shortage of this machine; it says nothing of the member.
            front.core.attemptEnded(attempt, Outcome.UNUSED);
        }
        return side;
    }

    /** Opens one more of a flow that stands, for another path of its client; null where there is no socket for it. */
    static UpstreamFlow further(QuicFrontend front, Attempt attempt, Consumer<byte[]> heard) {
        UpstreamFlow side = new UpstreamFlow(front, attempt);
        side.seat = front.sockets.seat(attempt.endpoint().address(), front.clock.nowMs(), heard);
        return side.seat == null ? null : side;
    }

    /** The member has sent what is a packet of QUIC. */
    void answered() {
        unanswered = 0;
        unansweredSinceMs = Double.NaN;
    }

    /** Every datagram is a sending of its own: from the news of a drain on, none goes there any more. */
    void send(byte[] datagram, double nowMs) {
        if (flow.endpoint().isServing()) {
            if (unanswered == 0) {
                unansweredSinceMs = nowMs;
            }
            unanswered++;
            seat.send(datagram);
        }
    }

    /** Whether that many datagrams have gone out for longer than a member may be silent, and nothing came back. */
    boolean silent(double nowMs) {
        return unanswered >= front.limits.quic().unresponsiveAfterDatagrams()
                && nowMs - unansweredSinceMs > front.limits.quic().unresponsiveTimeoutMs();
    }

    void close() {
        seat.leave(front.clock.nowMs());
    }
}

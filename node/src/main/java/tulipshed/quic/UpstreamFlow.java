package tulipshed.quic;

import java.util.function.Consumer;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;

/** The datagrams between one client path and the endpoint of its attempt, on an upstream socket. */
final class UpstreamFlow {
    private final QuicContext context;
    private final Attempt attempt;
    private final SocketBinding binding;
    private int datagramsWithoutReply;

    /** When the first of the datagrams without a reply was sent. */
    private double withoutReplySinceMs = Double.NaN;

    private UpstreamFlow(QuicContext context, Attempt attempt, SocketBinding binding) {
        this.context = context;
        this.attempt = attempt;
        this.binding = binding;
    }

    /** Opens the first flow of an attempt; null, and the attempt has ended, where that is not possible. */
    static UpstreamFlow openFirst(QuicContext context, Attempt attempt, Consumer<byte[]> receiver) {
        if (!context.core().mayForward(attempt)) {
            context.core().attemptEnded(attempt, Outcome.CONNECT_FAILED);
            return null;
        }
        UpstreamFlow flow = openFurther(context, attempt, receiver);
        if (flow == null) {
            // A shortage of this machine, which is no fault of the endpoint.
            context.core().attemptEnded(attempt, Outcome.UNUSED);
        }
        return flow;
    }

    /** Opens a flow for another path of an established connection; null where there is no socket for it. */
    static UpstreamFlow openFurther(QuicContext context, Attempt attempt, Consumer<byte[]> receiver) {
        SocketBinding binding = context.sockets()
                .bind(attempt.endpoint().address(), context.clock().nowMs(), receiver);
        return binding == null ? null : new UpstreamFlow(context, attempt, binding);
    }

    /** The endpoint has sent a QUIC packet. */
    void received() {
        datagramsWithoutReply = 0;
        withoutReplySinceMs = Double.NaN;
    }

    /** Sends a datagram, unless the endpoint is not serving any more. */
    void send(byte[] datagram, double nowMs) {
        if (attempt.endpoint().isServing()) {
            if (datagramsWithoutReply == 0) {
                withoutReplySinceMs = nowMs;
            }
            datagramsWithoutReply++;
            binding.send(datagram);
        }
    }

    /** Whether too many datagrams are without a reply for too long. */
    boolean isUnresponsive(double nowMs) {
        return datagramsWithoutReply >= context.limits().quic().unresponsiveAfterDatagrams()
                && nowMs - withoutReplySinceMs > context.limits().quic().unresponsiveTimeoutMs();
    }

    /** Releases the flow's socket. */
    void close() {
        binding.release(context.clock().nowMs());
    }
}

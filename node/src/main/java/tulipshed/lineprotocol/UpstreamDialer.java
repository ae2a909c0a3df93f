package tulipshed.lineprotocol;

import java.io.IOException;
import java.util.OptionalDouble;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;
import tulipshed.transport.ConnectFailures;
import tulipshed.transport.ConnectionLoop;

/**
 * Connects to the endpoint of one attempt, and redials after local failures, where this machine itself could not begin to
 * connect. Confined to the event-loop thread.
 */
final class UpstreamDialer {
    private final LineProtocolFrontend frontend;
    private final FrontendContext context;
    private final ClientSession client;
    private final UpstreamConnection upstream;
    private final Attempt attempt;
    private final RedialBackoff redialBackoff;
    private ConnectionLoop.PendingConnection pendingConnection;

    /** Creates a dialer that reports the result to {@code upstream}. */
    UpstreamDialer(LineProtocolFrontend frontend, ClientSession client, UpstreamConnection upstream) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.client = client;
        this.upstream = upstream;
        this.attempt = upstream.attempt();
        this.redialBackoff = new RedialBackoff(context.limits().lineProtocol());
    }

    /** Starts connecting. */
    void dial() {
        if (!frontend.ensureUpstreamCapacity()) {
            // This node ran out of descriptors, which must not count against the endpoint.
            upstream.end(Outcome.UNUSED);
            return;
        }
        pendingConnection =
                context.eventLoop().connect(attempt.endpoint().address(), upstream::onConnected, this::onConnectFailed);
    }

    private void onConnectFailed(IOException reason) {
        if (!ConnectFailures.isLocal(reason)) {
            upstream.end(Outcome.CONNECT_FAILED);
            return;
        }
        double nowMs = context.clock().nowMs();
        OptionalDouble delayMs = redialBackoff.takeNextDelayMs(attempt.remainingWaitMs(nowMs));
        if (delayMs.isPresent()) {
            context.eventLoop().schedule(delayMs.getAsDouble(), this::redial);
        } else {
            upstream.end(Outcome.UNUSED);
        }
    }

    /** Dials again for the same attempt, unless it was abandoned or its client has disconnected. */
    private void redial() {
        client.readAvailableInput();
        if (upstream.state() == UpstreamState.CONNECTING && attempt.request().isPending()) {
            dial();
        }
    }

    /** Abandons a connection attempt in progress without reporting a result. */
    void abandon() {
        if (pendingConnection != null) {
            pendingConnection.abandon();
        }
    }
}

package tulipshed.lineprotocol;

import java.util.OptionalDouble;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;

/**
 * Relays between one client and the endpoint that serves its request, and watches that the endpoint responds. Confined to
 * the event-loop thread.
 */
final class UpstreamRelay {
    private final LineProtocolFrontend frontend;
    private final FrontendContext context;
    private final ClientSession client;
    private final UpstreamConnection upstream;
    private final Attempt attempt;
    private final InactivityDetector inactivityDetector;
    private boolean isClientInputEnded;

    UpstreamRelay(LineProtocolFrontend frontend, ClientSession client, UpstreamConnection upstream) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.client = client;
        this.upstream = upstream;
        this.attempt = upstream.attempt();
        this.inactivityDetector =
                new InactivityDetector(context.limits().requests().endpointTimeoutMs());
    }

    /** Whether the client has ended its sending. */
    boolean isClientInputEnded() {
        return isClientInputEnded;
    }

    /** The endpoint sent something. */
    void onInputOfEndpoint() {
        inactivityDetector.responseReceived();
    }

    /** Passes a line of the endpoint on, and the value that it reports, if it does, to the core. */
    void sendToClient(byte[] line, OptionalDouble value) {
        value.ifPresent(this::reportValue);
        // Last, as it ends this attempt where the client's connection breaks.
        client.sendFromEndpoint(line);
    }

    /** One message has two meanings: where the settings say that endpoints report latency, its value is milliseconds. */
    private void reportValue(double value) {
        if (frontend.loadReportsLatency()) {
            context.core().latencyReported(attempt, value);
        } else {
            context.core().loadReported(attempt, value);
        }
    }

    /** Passes bytes of the client on. */
    void sendToEndpoint(byte[] bytes) {
        inactivityDetector.requestSent(context.clock().nowMs());
        upstream.connection().write(bytes);
    }

    /** Notifies the core if the endpoint does not respond any more: it may be lost without its connection's end. */
    void checkInactivity(double nowMs) {
        if (inactivityDetector.isUnresponsive(nowMs)) {
            context.core().endpointUnresponsive(attempt);
        }
    }

    /** The client ended its sending: so does this side, and awaits the endpoint's end until the linger timeout. */
    void onClientEndOfStream() {
        isClientInputEnded = true;
        upstream.connection().shutdownOutput();
        context.eventLoop().schedule(context.limits().sockets().lingerTimeoutMs(), this::onLingerTimeout);
    }

    private void onLingerTimeout() {
        if (upstream.state() == UpstreamState.ESTABLISHED) {
            client.onUpstreamEndOfStream();
            upstream.end(Outcome.CANCELLED);
        }
    }
}

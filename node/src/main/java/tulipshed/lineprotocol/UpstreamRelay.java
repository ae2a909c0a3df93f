package tulipshed.lineprotocol;

import java.util.OptionalDouble;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;

/**
 * Relays between one client and the endpoint that serves its request, and detects an unresponsive endpoint. Confined to the
 * event-loop thread.
 */
final class UpstreamRelay {
    private final LineProtocolFrontend frontend;
    private final FrontendContext context;
    private final ClientSession client;
    private final UpstreamConnection upstream;
    private final Attempt attempt;
    private final InactivityDetector inactivityDetector;
    private boolean isClientInputEnded;

    /** Null until the client has ended its output. */
    private LingerTimeouts.Timeout lingerTimeout;

    UpstreamRelay(LineProtocolFrontend frontend, ClientSession client, UpstreamConnection upstream) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.client = client;
        this.upstream = upstream;
        this.attempt = upstream.attempt();
        this.inactivityDetector =
                new InactivityDetector(context.limits().requests().endpointTimeoutMs());
    }

    /** Whether the client has ended its output. */
    boolean isClientInputEnded() {
        return isClientInputEnded;
    }

    /** Records input of the endpoint for the inactivity check. */
    void onEndpointInput() {
        inactivityDetector.onEndpointInput();
    }

    /** Forwards a line of the endpoint to the client and the value of a {@code LOAD} line, if present, to the core. */
    void sendToClient(byte[] line, OptionalDouble value) {
        value.ifPresent(this::reportValue);
        // Last, since this ends the attempt if the client's connection fails.
        client.sendFromEndpoint(line);
    }

    /** Reports the value of a {@code LOAD} line: a latency in milliseconds if the settings say so, otherwise a load. */
    private void reportValue(double value) {
        if (frontend.loadReportsLatency()) {
            context.core().latencyReported(attempt, value);
        } else {
            context.core().loadReported(attempt, value);
        }
    }

    /** Forwards bytes of the client to the endpoint. */
    void sendToEndpoint(byte[] bytes) {
        inactivityDetector.onClientInput(context.clock().nowMs());
        upstream.connection().write(bytes);
    }

    /** Notifies the core if the endpoint is unresponsive: an endpoint may fail without its connection being closed. */
    void checkInactivity(double nowMs) {
        if (inactivityDetector.checkUnresponsive(nowMs)) {
            context.core().endpointUnresponsive(attempt);
        }
    }

    /**
     * Shuts down the output to the endpoint after the client's end of stream, and awaits the endpoint's end of stream until
     * the linger timeout.
     */
    void onClientEndOfStream() {
        isClientInputEnded = true;
        upstream.connection().shutdownOutput();
        lingerTimeout = frontend.lingerTimeouts().start(this::onLingerTimeout);
    }

    /** Releases what would keep the closed connection in memory. */
    void onClosed() {
        if (lingerTimeout != null) {
            lingerTimeout.cancel();
        }
    }

    private void onLingerTimeout() {
        if (upstream.state() == UpstreamState.ESTABLISHED) {
            client.onUpstreamEndOfStream();
            upstream.end(Outcome.CANCELLED);
        }
    }
}

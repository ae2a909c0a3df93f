package tulipshed.lineprotocol;

import java.io.ByteArrayOutputStream;
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

    /** Bytes of the endpoint that were read in this event and not forwarded yet; null if there are none. */
    private ByteArrayOutputStream unflushed;

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

    /**
     * Adds a line of the endpoint to those that {@link #flushToClient} forwards to the client, and reports the value of a
     * {@code LOAD} line, if present, to the core.
     */
    void relayToClient(byte[] line, OptionalDouble value) {
        value.ifPresent(this::reportValue);
        relayToClient(line);
    }

    /** Adds bytes of the endpoint to those that {@link #flushToClient} forwards to the client. */
    void relayToClient(byte[] bytes) {
        if (unflushed == null) {
            unflushed = new ByteArrayOutputStream();
        }
        unflushed.writeBytes(bytes);
    }

    /**
     * Forwards the added bytes in one write: a system call for each line would let an endpoint, or a client whose lines it
     * returns, occupy the event loop with very short lines. Ends the attempt if the client's connection fails.
     */
    void flushToClient() {
        if (unflushed != null) {
            byte[] bytes = unflushed.toByteArray();
            unflushed = null;
            client.sendFromEndpoint(bytes);
        }
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

package tulipshed.lineprotocol;

import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;

/** Forwards the open command of one attempt and handles the endpoint's response. Confined to the event-loop thread. */
final class UpstreamHandshake {
    private final FrontendContext context;
    private final UpstreamConnection upstream;
    private final OpenCommand openCommand;
    private final Attempt attempt;
    private boolean isForwarded;

    UpstreamHandshake(FrontendContext context, UpstreamConnection upstream, OpenCommand openCommand) {
        this.context = context;
        this.upstream = upstream;
        this.openCommand = openCommand;
        this.attempt = upstream.attempt();
    }

    /** The open command to forward now, with the time that remains to wait as its timeout. */
    byte[] forwardedLine() {
        double nowMs = context.clock().nowMs();
        double remainingWaitMs =
                openCommand.isAdopted() ? attempt.request().deadlineMs() - nowMs : attempt.remainingWaitMs(nowMs);
        return openCommand.forwardedLine(remainingWaitMs);
    }

    /** Notifies the core that the open command has been written completely; further calls do nothing. */
    void onWritten() {
        if (!isForwarded) {
            isForwarded = true;
            context.core().attemptForwarded();
        }
    }

    /**
     * Handles one message received before the endpoint serves the request.
     *
     * @param line the complete line of the message, as it is forwarded to the client
     */
    void onResponse(EndpointMessage message, byte[] line) {
        switch (message.kind()) {
            case ESTABLISHED -> establish(line);
            case REJECTED -> upstream.end(Outcome.FULL);
            case FAILED -> upstream.end(Outcome.ERROR);
            case COMPLETED, MIGRATING -> {
                // Announces the outcome of the attempt; the endpoint closes the connection next.
            }
            default -> {
                context.upstreamErrors().record("an unexpected response");
                upstream.end(Outcome.ERROR);
            }
        }
    }

    private void establish(byte[] response) {
        if (context.core().attemptEstablished(attempt)) {
            upstream.onEstablished(response);
        } else {
            upstream.close();
        }
    }
}

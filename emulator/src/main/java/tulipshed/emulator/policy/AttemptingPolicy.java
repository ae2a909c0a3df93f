package tulipshed.emulator.policy;

import java.util.List;
import tulipshed.decision.api.Outcome;

/**
 * Timeouts for policies that only choose endpoints: an attempt that is not established in time is cancelled, as is one in
 * progress shortly before its client's deadline.
 */
abstract class AttemptingPolicy implements Policy {
    /** Time before the client's deadline at which an attempt is cancelled, so that the final answer arrives in time. */
    static final double ANSWER_MARGIN_MS = 5;

    final PolicyHost host;

    AttemptingPolicy(PolicyHost host) {
        this.host = host;
    }

    /** A request arrived: an attempt must start or a final answer be given. */
    abstract void decide(ClientRequest request);

    /** An attempt was established after that many milliseconds. */
    abstract void attemptSucceeded(EmulatedAttempt attempt, double tookMs);

    /** An attempt ended; {@code concluded} where no answer is owed to the client any more. */
    abstract void attemptFinished(EmulatedAttempt attempt, boolean concluded, Outcome outcome);

    /** The client disconnected before it was answered. */
    abstract void requestAbandoned(ClientRequest request);

    @Override
    public final void requestArrived(ClientRequest request) {
        host.schedule(Math.max(0, request.remainingMs(host.nowMs()) - ANSWER_MARGIN_MS), () -> timeOut(request));
        decide(request);
    }

    private void timeOut(ClientRequest request) {
        if (!request.answerPending) {
            return;
        }
        EmulatedAttempt attempt = request.attempt;
        if (attempt != null) {
            host.cancel(attempt);
            attemptFinished(attempt, false, Outcome.TIMEOUT);
        }
    }

    /** Starts an attempt, with a timeout where that is above 0. */
    final EmulatedAttempt startAttempt(ClientRequest request, int endpoint, double timeoutMs) {
        EmulatedAttempt attempt = host.startAttempt(request, endpoint);
        double left = request.remainingMs(host.nowMs()) - ANSWER_MARGIN_MS;
        if (timeoutMs > 0 && timeoutMs < left) {
            host.schedule(timeoutMs, () -> {
                if (!attempt.ended && request.answerPending && request.attempt == attempt) {
                    host.cancel(attempt);
                    attemptFinished(attempt, false, Outcome.TIMEOUT);
                }
            });
        }
        return attempt;
    }

    /** Cancels the attempt in progress, if any. */
    final void cancelUnestablished(ClientRequest request) {
        EmulatedAttempt attempt = request.attempt;
        if (attempt != null && !request.established) {
            host.cancel(attempt);
            attemptFinished(attempt, true, Outcome.CANCELLED);
        }
    }

    @Override
    public final boolean attemptEstablished(EmulatedAttempt attempt) {
        if (attempt.ended || !attempt.request.answerPending) {
            return false;
        }
        attempt.request.answerPending = false;
        attempt.request.established = true;
        attemptSucceeded(attempt, host.nowMs() - attempt.sentMs);
        return true;
    }

    @Override
    public final void attemptEnded(EmulatedAttempt attempt, Outcome outcome) {
        attemptFinished(attempt, !attempt.request.answerPending, outcome);
    }

    @Override
    public final void shutDown(List<ClientRequest> pending) {
        for (ClientRequest request : pending) {
            if (request.answerPending) {
                requestCancelled(request);
                host.fail(request);
            }
        }
    }

    @Override
    public final void requestCancelled(ClientRequest request) {
        request.answerPending = false;
        requestAbandoned(request);
        cancelUnestablished(request);
    }
}

package tulipshed.emulator.policy;

import java.util.List;
import tulipshed.decision.api.Outcome;

/**
 * Keeps the waits of attempts and transactions for policies that only decide: an attempt that is not up in time ends, and
 * so does one that is out when its client's wait is nearly over.
 */
abstract class AttemptingPolicy implements Policy {
    /** Final answers are due this much before the client gives up, so that they arrive in time. */
    static final double MARGIN_MS = 5;

    final PolicyHost host;

    AttemptingPolicy(PolicyHost host) {
        this.host = host;
    }

    /** A client asks. */
    abstract void decide(ClientRequest request);

    abstract void started(EmulatedAttempt attempt, double tookMs);

    /** A flow ended; {@code concluded} when nothing more is owed to the client. */
    abstract void finished(EmulatedAttempt attempt, boolean concluded, Outcome outcome);

    abstract void abandoned(ClientRequest request);

    @Override
    public final void requestArrived(ClientRequest request) {
        host.schedule(Math.max(0, request.remainingMs(host.nowMs()) - MARGIN_MS), () -> timeOut(request));
        decide(request);
    }

    private void timeOut(ClientRequest request) {
        if (!request.answerPending) {
            return;
        }
        EmulatedAttempt attempt = request.attempt;
        if (attempt != null) {
            host.cancel(attempt);
            finished(attempt, false, Outcome.TIMEOUT);
        }
    }

    /** Sends an attempt, bounded by a time-out where that is above 0. */
    final EmulatedAttempt startAttempt(ClientRequest request, int endpoint, double timeoutMs) {
        EmulatedAttempt attempt = host.startAttempt(request, endpoint);
        double left = request.remainingMs(host.nowMs()) - MARGIN_MS;
        if (timeoutMs > 0 && timeoutMs < left) {
            host.schedule(timeoutMs, () -> {
                if (!attempt.ended && request.answerPending && request.attempt == attempt) {
                    host.cancel(attempt);
                    finished(attempt, false, Outcome.TIMEOUT);
                }
            });
        }
        return attempt;
    }

    /** Stops waiting for an attempt. */
    final void cancelUnestablished(ClientRequest request) {
        EmulatedAttempt attempt = request.attempt;
        if (attempt != null && !request.established) {
            host.cancel(attempt);
            finished(attempt, true, Outcome.CANCELLED);
        }
    }

    @Override
    public final boolean attemptEstablished(EmulatedAttempt attempt) {
        if (attempt.ended || !attempt.request.answerPending) {
            return false;
        }
        attempt.request.answerPending = false;
        attempt.request.established = true;
        started(attempt, host.nowMs() - attempt.sentMs);
        return true;
    }

    @Override
    public final void attemptEnded(EmulatedAttempt attempt, Outcome outcome) {
        finished(attempt, !attempt.request.answerPending, outcome);
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
        abandoned(request);
        // Nobody waits for it either way.
        cancelUnestablished(request);
    }
}

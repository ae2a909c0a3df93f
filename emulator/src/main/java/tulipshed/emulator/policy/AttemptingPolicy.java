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
    abstract void ask(ClientRequest t);

    abstract void started(EmulatedAttempt f, double tookMs);

    /** A flow ended; {@code concluded} when nothing more is owed to the client. */
    abstract void finished(EmulatedAttempt f, boolean concluded, Outcome outcome);

    abstract void abandoned(ClientRequest t);

    @Override
    public final void arrived(ClientRequest t) {
        host.after(Math.max(0, t.leftMs(host.nowMs()) - MARGIN_MS), () -> overdue(t));
        ask(t);
    }

    private void overdue(ClientRequest t) {
        if (!t.owed) {
            return;
        }
        EmulatedAttempt f = t.flow;
        if (f != null) {
            host.giveUp(f);
            finished(f, false, Outcome.TIMEOUT);
        }
    }

    /** Sends an attempt, bounded by a time-out where that is above 0. */
    final EmulatedAttempt attempt(ClientRequest t, int member, double timeoutMs) {
        EmulatedAttempt f = host.dial(t, member);
        double left = t.leftMs(host.nowMs()) - MARGIN_MS;
        if (timeoutMs > 0 && timeoutMs < left) {
            host.after(timeoutMs, () -> {
                if (!f.over && t.owed && t.flow == f) {
                    host.giveUp(f);
                    finished(f, false, Outcome.TIMEOUT);
                }
            });
        }
        return f;
    }

    /** Stops waiting for an attempt. */
    final void cancel(ClientRequest t) {
        EmulatedAttempt f = t.flow;
        if (f != null && !t.standing) {
            host.giveUp(f);
            finished(f, true, Outcome.CANCELLED);
        }
    }

    @Override
    public final boolean up(EmulatedAttempt f) {
        if (f.over || !f.of.owed) {
            return false;
        }
        f.of.owed = false;
        f.of.standing = true;
        started(f, host.nowMs() - f.sentMs);
        return true;
    }

    @Override
    public final void ended(EmulatedAttempt f, Outcome outcome) {
        finished(f, !f.of.owed, outcome);
    }

    @Override
    public final void shutDown(List<ClientRequest> pending) {
        for (ClientRequest t : pending) {
            if (t.owed) {
                left(t);
                host.fail(t);
            }
        }
    }

    @Override
    public final void left(ClientRequest t) {
        t.owed = false;
        abandoned(t);
        // Nobody waits for it either way.
        cancel(t);
    }
}

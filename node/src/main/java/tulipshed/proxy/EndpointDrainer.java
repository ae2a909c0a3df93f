package tulipshed.proxy;

import java.util.List;
import tulipshed.decision.api.Outcome;

/**
 * Ends attempts that may not remain at an endpoint that is no longer serving, spread over part of the drain grace period so
 * that their clients do not all reconnect at the same time. Confined to the event-loop thread.
 */
final class EndpointDrainer {
    /** The fraction of the drain grace period over which attempts are ended; the rest is a margin for slow attempts. */
    private static final double DRAIN_SPREAD_FRACTION = 0.6;

    private final CoreContext context;
    private final RequestTable table;
    private final AttemptManager attempts;
    private final ConnectionMigrator migrator;

    EndpointDrainer(CoreContext context, RequestTable table, AttemptManager attempts, ConnectionMigrator migrator) {
        this.context = context;
        this.table = table;
        this.attempts = attempts;
        this.migrator = migrator;
    }

    /** Schedules the end of each attempt that must leave its endpoint and is not yet scheduled to. */
    void drain() {
        List<Attempt> drained = table.all().stream()
                .map(Request::attempt)
                .filter(EndpointDrainer::mustLeave)
                .toList();
        double spreadMs = DRAIN_SPREAD_FRACTION * context.settings().drainGraceMs();
        double nowMs = context.clock().nowMs();
        for (int index = 0; index < drained.size(); index++) {
            Attempt attempt = drained.get(index);
            attempt.markDraining();
            context.events().schedule(nowMs + spreadMs * index / drained.size(), () -> endAttempt(attempt));
        }
    }

    private static boolean mustLeave(Attempt attempt) {
        return attempt != null
                && !attempt.endpoint().isServing()
                && !attempt.isDraining()
                && attempt.request().connector().mustLeaveDrainingEndpoint();
    }

    private void endAttempt(Attempt attempt) {
        if (attempt.isEnded()) {
            return;
        }
        if (attempt.request().isEstablished()) {
            migrator.migrate(attempt.request(), Outcome.CANCELLED);
        } else {
            attempts.abandon(attempt, Outcome.RESET);
        }
    }
}

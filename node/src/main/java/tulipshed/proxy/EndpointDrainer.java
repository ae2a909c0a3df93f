package tulipshed.proxy;

import java.util.List;
import tulipshed.decision.api.Outcome;

/**
 * Ends the attempts that may not stay on an endpoint that stopped serving, spread over part of the drain grace so that
 * their clients do not all reconnect at once. Confined to the event-loop thread.
 */
final class EndpointDrainer {
    /** The fraction of the drain grace over which attempts leave; the rest is reserve for those that are slow. */
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

    /** Schedules the end of each attempt that must leave its endpoint and is not scheduled to yet. */
    void drain() {
        List<Attempt> leaving = table.all().stream()
                .map(Request::attempt)
                .filter(EndpointDrainer::mustLeave)
                .toList();
        double spreadMs = DRAIN_SPREAD_FRACTION * context.settings().drainGraceMs();
        double nowMs = context.clock().nowMs();
        for (int index = 0; index < leaving.size(); index++) {
            Attempt attempt = leaving.get(index);
            attempt.markDraining();
            context.events().schedule(nowMs + spreadMs * index / leaving.size(), () -> leave(attempt));
        }
    }

    private static boolean mustLeave(Attempt attempt) {
        return attempt != null
                && !attempt.endpoint().isServing()
                && !attempt.isDraining()
                && attempt.request().connector().mustLeaveDrainingEndpoint();
    }

    private void leave(Attempt attempt) {
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

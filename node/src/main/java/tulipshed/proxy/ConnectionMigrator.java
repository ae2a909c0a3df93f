package tulipshed.proxy;

import java.util.Optional;
import org.jboss.logging.Logger;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;

/** Migrates established connections: ends them and tells their clients to reconnect. Confined to the event-loop thread. */
final class ConnectionMigrator {
    private final RequestTable table;
    private final EstablishedConnections established;
    private final AttemptManager attempts;
    private final Logger log;

    ConnectionMigrator(
            CoreContext context, RequestTable table, EstablishedConnections established, AttemptManager attempts) {
        this.table = table;
        this.established = established;
        this.attempts = attempts;
        this.log = context.log().logger(CoreContext.LOG_SUBJECT);
    }

    /** Migrates the client of that request if it is established, as the decision module decided. */
    void migrate(long requestId) {
        Request request = table.find(requestId);
        if (request != null && request.isEstablished()) {
            migrate(request, Outcome.CANCELLED);
        }
    }

    /** Migrates the client of an established request and ends its attempt with the outcome. */
    void migrate(Request request, Outcome outcome) {
        Attempt attempt = request.attempt();
        request.client().migrate();
        if (attempt != null) {
            attempts.ended(attempt, outcome, LoadReport.NONE);
        }
    }

    /** Migrates the client of an established attempt whose endpoint stopped responding. */
    void endpointUnresponsive(Attempt attempt) {
        if (!attempt.isEnded() && attempt.request().isEstablished()) {
            log.warn("endpoint " + attempt.endpoint().id() + " unresponsive: migrating its client");
            migrate(attempt.request(), Outcome.RESET);
        }
    }

    /** Migrates the client of the oldest established connection; returns false if there is none. */
    boolean migrateOldest() {
        Optional<Request> oldest = established.oldest();
        oldest.ifPresent(request -> migrate(request, Outcome.CANCELLED));
        return oldest.isPresent();
    }
}

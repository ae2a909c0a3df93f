package tulipshed.decision;

import java.util.ArrayDeque;
import tulipshed.decision.api.Outcome;

/**
 * Prefers endpoints with an idle connection where opening a connection has a price. Confined to the event-loop thread.
 */
final class ConnectionReuse {
    private static final double MAX_LOAD_FACTOR = 1; // of the mean load; a more loaded endpoint is not preferred

    private final ActiveSettings settings;
    private final EndpointEvaluator evaluator;
    private final ArrayDeque<IdleConnection> idleNewestFirst = new ArrayDeque<>();

    ConnectionReuse(ActiveSettings settings, EndpointEvaluator evaluator) {
        this.settings = settings;
        this.evaluator = evaluator;
    }

    /** Stores the connection of an attempt that has ended as idle, if it can be reused. */
    void recordEnded(long nowUs, EndpointState endpoint, Outcome outcome, boolean established) {
        boolean reusable = outcome == Outcome.OK || (outcome == Outcome.CANCELLED && established);
        if (settings.current().prices().handshake() > 0 && reusable) {
            while (!idleNewestFirst.isEmpty() && idleNewestFirst.peekLast().expiresAtUs() <= nowUs) {
                idleNewestFirst.pollLast();
            }
            long expiresAtUs = nowUs + settings.current().limits().connectionIdleUs();
            idleNewestFirst.addFirst(new IdleConnection(endpoint, expiresAtUs));
        }
    }

    /**
     * Removes the newest unexpired idle connection to a usable endpoint that is not loaded above the mean, and returns
     * the endpoint, or null if there is none. Endpoints in the same zone come first where crossing zones has a price.
     */
    EndpointState take(long nowUs, RequestState request) {
        double maxLoadPerWeight = MAX_LOAD_FACTOR * request.pool.load / request.pool.nonZeroWeight();
        boolean zoneMatters = settings.current().prices().crossZone() > 0;
        IdleConnection found = null;
        for (IdleConnection candidate : idleNewestFirst) {
            EndpointState endpoint = candidate.endpoint();
            boolean isBetter = found == null
                    || (zoneMatters
                            && endpoint.isInSameZone()
                            && !found.endpoint().isInSameZone());
            if (isBetter
                    && nowUs < candidate.expiresAtUs()
                    && evaluator.isUsable(nowUs, request, endpoint)
                    && endpoint.openLoad <= maxLoadPerWeight * endpoint.weight()) {
                found = candidate;
            }
        }
        idleNewestFirst.removeLastOccurrence(found); // the oldest of equal connections
        return found == null ? null : found.endpoint();
    }
}

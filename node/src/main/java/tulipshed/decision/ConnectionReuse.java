package tulipshed.decision;

import java.util.ArrayDeque;
import tulipshed.decision.api.Outcome;

/** Prefers endpoints with an idle connection where opening one has a price. Confined to the event-loop thread. */
final class ConnectionReuse {
    private static final double MAX_MEAN_LOADS = 1; // load up to which an endpoint is preferred

    private final ActiveSettings settings;
    private final EndpointEvaluator evaluator;
    private final ArrayDeque<IdleConnection> latestFirst = new ArrayDeque<>();

    ConnectionReuse(ActiveSettings settings, EndpointEvaluator evaluator) {
        this.settings = settings;
        this.evaluator = evaluator;
    }

    /** Keeps the connection of an attempt that has ended, if it can be reused. */
    void recordEnded(long nowUs, EndpointState endpoint, Outcome outcome, boolean established) {
        boolean reusable = outcome == Outcome.OK || (outcome == Outcome.CANCELLED && established);
        if (settings.current().prices().handshake() > 0 && reusable) {
            while (!latestFirst.isEmpty() && latestFirst.peekLast().untilUs() <= nowUs) {
                latestFirst.pollLast();
            }
            long untilUs = nowUs + settings.current().limits().connectionIdleUs();
            latestFirst.addFirst(new IdleConnection(endpoint, untilUs));
        }
    }

    /** Takes the latest idle connection to a usable endpoint, the same zone first where crossing has a price; or null. */
    EndpointState take(long nowUs, RequestState request) {
        double meanLoad = MAX_MEAN_LOADS * request.pool.load / request.pool.nonZeroWeight();
        boolean zoneMatters = settings.current().prices().crossZone() > 0;
        IdleConnection found = null;
        for (IdleConnection candidate : latestFirst) {
            EndpointState endpoint = candidate.endpoint();
            boolean nearer = found == null
                    || (zoneMatters
                            && endpoint.isInSameZone()
                            && !found.endpoint().isInSameZone());
            if (nearer
                    && nowUs < candidate.untilUs()
                    && evaluator.isUsable(nowUs, request, endpoint)
                    && endpoint.openLoad <= meanLoad * endpoint.weight()) {
                found = candidate;
            }
        }
        latestFirst.removeLastOccurrence(found); // the oldest of equal ones
        return found == null ? null : found.endpoint();
    }
}

package tulipshed.decision;

import java.util.ArrayDeque;
import java.util.Iterator;
import tulipshed.decision.BalancerApi.Outcome;

/** Prefers endpoints with an idle connection where opening one has a price. Confined to the event-loop thread. */
final class ConnectionReuse {
    private static final double MAX_MEAN_LOADS = 1; // load up to which an endpoint is preferred

    private final ActiveSettings settings;
    private final EndpointPool allEndpoints;
    private final EndpointEvaluator evaluator;
    private final ArrayDeque<IdleConnection> idle = new ArrayDeque<>();

    ConnectionReuse(ActiveSettings settings, EndpointPool allEndpoints, EndpointEvaluator evaluator) {
        this.settings = settings;
        this.allEndpoints = allEndpoints;
        this.evaluator = evaluator;
    }

    /** Keeps the connection of an attempt that has ended, if it can be reused. */
    void recordEnded(long now, EndpointState endpoint, Outcome outcome, boolean established) {
        boolean reusable = outcome == Outcome.OK || (outcome == Outcome.CANCELLED && established);
        if (settings.current().prices().handshake() > 0 && reusable) {
            while (!idle.isEmpty() && idle.peekFirst().untilUs() <= now) {
                idle.pollFirst();
            }
            idle.addLast(new IdleConnection(
                    endpoint, now + settings.current().limits().connectionIdleUs()));
        }
    }

    /** Takes the latest idle connection to a usable endpoint, the same zone first where crossing has a price; or null. */
    EndpointState take(long now, RequestState request) {
        double meanLoad = MAX_MEAN_LOADS * request.pool.load / Math.max(1e-9, request.pool.weight);
        IdleConnection found = null;
        for (Iterator<IdleConnection> latestFirst = idle.descendingIterator(); latestFirst.hasNext(); ) {
            IdleConnection candidate = latestFirst.next();
            EndpointState endpoint = candidate.endpoint();
            if ((found == null || isNearer(endpoint, found.endpoint()))
                    && now < candidate.untilUs()
                    && evaluator.isUsable(now, request, endpoint)
                    && endpoint.openLoad <= meanLoad * endpoint.weight()) {
                found = candidate;
            }
        }
        idle.remove(found);
        return found == null ? null : found.endpoint();
    }

    private boolean isNearer(EndpointState endpoint, EndpointState other) {
        return settings.current().prices().crossZone() > 0
                && allEndpoints.sameZone.has(endpoint)
                && !allEndpoints.sameZone.has(other);
    }
}

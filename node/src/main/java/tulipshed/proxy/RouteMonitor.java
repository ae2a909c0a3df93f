package tulipshed.proxy;

import tulipshed.routing.Router;

/**
 * Re-evaluates pools and routes when the endpoint list changes, and also at regular intervals, as the eligibility and the age
 * of endpoints change without a change of the list. Does neither if there are no routes and no pool depends on the age of
 * endpoints. Confined to the event-loop thread.
 */
final class RouteMonitor {
    private final CoreContext context;
    private final RequestRouting routing;
    private final EndpointRegistry endpoints;
    private final RequestTable table;
    private boolean pollScheduled;

    RouteMonitor(CoreContext context, RequestRouting routing, EndpointRegistry endpoints, RequestTable table) {
        this.context = context;
        this.routing = routing;
        this.endpoints = endpoints;
        this.table = table;
    }

    /** Replaces the routing rules; null for none. */
    void setRouter(Router router) {
        routing.setRouter(router, endpoints.listedInfos(), context.clock().nowMs());
        context.events().add((balancer, nowMs, nowUs) -> {
            routing.publishPools(balancer, nowUs);
            routing.evaluateSpillover(balancer, nowUs, table.all());
            routing.rerouteRequests(balancer, nowUs, table.all());
        });
        schedulePoll();
    }

    /**
     * Re-evaluates pools and routes after a change of the endpoint list, if there are routes or a pool depends on the age of
     * endpoints.
     */
    void endpointsChanged() {
        if (routing.needsPolling()) {
            evaluate();
        }
    }

    private void schedulePoll() {
        if (pollScheduled || !routing.needsPolling()) {
            return;
        }
        pollScheduled = true;
        double nextPollMs =
                context.clock().nowMs() + context.limits().requests().routePollMs();
        context.events().schedule(nextPollMs, () -> {
            pollScheduled = false;
            evaluate();
            schedulePoll();
        });
    }

    private void evaluate() {
        boolean poolsChanged =
                routing.updatePools(endpoints.listedInfos(), context.clock().nowMs());
        context.events().add((balancer, nowMs, nowUs) -> {
            if (poolsChanged) {
                routing.publishPools(balancer, nowUs);
            }
            routing.evaluateSpillover(balancer, nowUs, table.all());
        });
    }
}

package tulipshed.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.jboss.logging.Logger;
import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.logging.NodeLog;
import tulipshed.routing.RequestAttributes;
import tulipshed.routing.RequestClassification;
import tulipshed.routing.Router;

/**
 * Applies the operators' routing rules to requests, and notifies the decision module of pools and of requests that change
 * theirs. Confined to the event-loop thread.
 */
final class RequestRouting {
    private static final String LOG_SUBJECT = "route";

    private final Logger log;
    private final Map<String, Integer> classIndices = new HashMap<>();
    private final Map<String, Integer> tenantIndices = new HashMap<>();
    private BalancerSettings settings;
    /** Null where there are no rules. */
    private Router router;
    /** The pool in use, by route, where that is not the preferred one. */
    private Map<String, String> spilloverPools = Map.of();

    RequestRouting(BalancerSettings settings, NodeLog log) {
        this.log = log.logger(LOG_SUBJECT);
        reconfigure(settings);
    }

    /** Replaces the settings, whose names of classes and tenants the rules use. */
    void reconfigure(BalancerSettings changed) {
        settings = changed;
        classIndices.clear();
        tenantIndices.clear();
        changed.classes().forEach(named -> classIndices.put(named.name(), classIndices.size()));
        changed.tenants().forEach(named -> tenantIndices.put(named.name(), tenantIndices.size()));
    }

    /** Replaces the rules, null for none; their pools are filled from the endpoints listed now. */
    void setRouter(Router changed, Collection<EndpointInfo> listed, double nowMs) {
        router = changed;
        spilloverPools = Map.of();
        if (router != null) {
            router.updatePools(listed, nowMs);
        }
    }

    /** Whether pools or routes may change without a change of the endpoint list. */
    boolean needsPolling() {
        return router != null && (router.hasRoutes() || router.poolsDependOnAge());
    }

    /** Gives a request the class, tenant and group that the rules assign. */
    void classify(Request request) {
        if (router == null) {
            return;
        }
        RequestParameters parameters = request.parameters();
        RequestClassification classified = router.classify(attributesOf(request));
        // A name that the settings no longer have changes nothing.
        request.setParameters(new RequestParameters(
                classIndices.getOrDefault(classified.className(), parameters.requestClass()),
                classified.tenant() == null
                        ? parameters.tenant()
                        : tenantIndices.getOrDefault(classified.tenant(), parameters.tenant()),
                parameters.key(),
                classified.group(),
                parameters.timeoutMs(),
                parameters.loadHintUsPerS(),
                parameters.retry(),
                parameters.reconnecting()));
    }

    /** The pool that must serve the request as routes are now, null for any endpoint. */
    String poolOf(Request request) {
        return hasRoutes() ? router.poolFor(attributesOf(request)) : null;
    }

    private RequestAttributes attributesOf(Request request) {
        RequestParameters parameters = request.parameters();
        return new RequestAttributes(
                classNameOf(parameters.requestClass()),
                tenantNameOf(parameters.tenant()),
                parameters.key(),
                parameters.group(),
                parameters.timeoutMs(),
                parameters.loadHintUsPerS(),
                parameters.retry(),
                parameters.reconnecting(),
                request.origin());
    }

    /** The settings may have fewer classes by now than those under which the request arrived. */
    private String classNameOf(int index) {
        int lastIndex = settings.classes().size() - 1;
        return settings.classes().get(Math.min(index, lastIndex)).name();
    }

    private String tenantNameOf(int index) {
        return index < 0 || index >= settings.tenants().size()
                ? null
                : settings.tenants().get(index).name();
    }

    /** Fills the pools from the endpoints listed now; whether any pool changed. */
    boolean updatePools(Collection<EndpointInfo> listed, double nowMs) {
        return router != null && router.updatePools(listed, nowMs);
    }

    /** Notifies the decision module of all pools. */
    void publishPools(BalancerApi balancer, long nowUs) {
        balancer.poolsChanged(nowUs, router == null ? Map.of() : router.endpointIdsByPool());
    }

    /** Decides which pool each route uses, by eligible endpoints; a change is logged, and pending requests are rerouted. */
    void evaluateSpillover(BalancerApi balancer, long nowUs, Collection<Request> requests) {
        if (router == null || !router.reevaluateSpillover(pool -> balancer.eligibleCount(nowUs, pool))) {
            return;
        }
        Map<String, String> changed = router.spilloverPools();
        logSpillover(changed);
        spilloverPools = changed;
        rerouteRequests(balancer, nowUs, requests);
    }

    private void logSpillover(Map<String, String> changed) {
        changed.forEach((route, pool) -> {
            if (!pool.equals(spilloverPools.get(route))) {
                log.info(route + " uses pool " + pool + " instead of its preferred pool");
            }
        });
        spilloverPools.keySet().stream()
                .filter(route -> !changed.containsKey(route))
                .forEach(route -> log.info(route + " uses its preferred pool again"));
    }

    /** Assigns pending requests the pool that the routes give now; established connections are left alone. */
    void rerouteRequests(BalancerApi balancer, long nowUs, Collection<Request> requests) {
        for (Request request : requests) {
            if (request.isPending()) {
                reroute(balancer, nowUs, request);
            }
        }
    }

    private void reroute(BalancerApi balancer, long nowUs, Request request) {
        String pool = poolOf(request);
        if (!Objects.equals(pool, request.pool())) {
            request.assignPool(pool);
            balancer.requestRerouted(nowUs, request.id(), pool);
        }
    }

    /** Whether the rules have routes. */
    boolean hasRoutes() {
        return router != null && router.hasRoutes();
    }

    /** How many routes use another pool than their preferred one. */
    int spilledRouteCount() {
        return spilloverPools.size();
    }
}

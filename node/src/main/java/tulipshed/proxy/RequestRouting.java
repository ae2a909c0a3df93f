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
 * Applies the operators' routing rules to requests, and notifies the decision module of changed pools and of rerouted
 * requests. Confined to the event-loop thread.
 */
final class RequestRouting {
    private static final String LOG_SUBJECT = "route";

    private final Logger log;
    private final Map<String, Integer> classIndices = new HashMap<>();
    private final Map<String, Integer> tenantIndices = new HashMap<>();
    private BalancerSettings settings;
    /** Null if there are no rules. */
    private Router router;
    /**
     * The pool in use by route name, for routes that do not use their preferred pool; for a split route, the pool of its last
     * branch that does not use its preferred pool.
     */
    private Map<String, String> spilloverPools = Map.of();

    RequestRouting(BalancerSettings settings, NodeLog log) {
        this.log = log.logger(LOG_SUBJECT);
        reconfigure(settings);
    }

    /** Replaces the settings; the rules refer to their classes and tenants by name. */
    void reconfigure(BalancerSettings changed) {
        settings = changed;
        classIndices.clear();
        tenantIndices.clear();
        changed.classes().forEach(requestClass -> classIndices.put(requestClass.name(), classIndices.size()));
        changed.tenants().forEach(tenant -> tenantIndices.put(tenant.name(), tenantIndices.size()));
    }

    /** Replaces the rules, null for none, and fills their pools from the listed endpoints. */
    void setRouter(Router changed, Collection<EndpointInfo> listed, double nowMs) {
        router = changed;
        spilloverPools = Map.of();
        if (router != null) {
            router.updatePools(listed, nowMs);
        }
    }

    /** Whether pools or the pools that routes use may change without a change of the endpoint list. */
    boolean needsPolling() {
        return router != null && (router.hasRoutes() || router.poolsDependOnAge());
    }

    /** Sets the class, tenant and group of a request to those that the rules assign. */
    void classify(Request request) {
        if (router == null) {
            return;
        }
        RequestParameters parameters = request.parameters();
        RequestClassification classified = router.classify(attributesOf(request));
        // A class or tenant that has been removed from the settings leaves the value of the request unchanged.
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

    /** The pool that must serve the request by the present routes, null for any endpoint. */
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

    /** Limits the index, as the settings may have fewer classes than when the request arrived. */
    private String classNameOf(int index) {
        int lastIndex = settings.classes().size() - 1;
        return settings.classes().get(Math.min(index, lastIndex)).name();
    }

    private String tenantNameOf(int index) {
        return index < 0 || index >= settings.tenants().size()
                ? null
                : settings.tenants().get(index).name();
    }

    /** Fills the pools from the listed endpoints; returns whether any pool changed. */
    boolean updatePools(Collection<EndpointInfo> listed, double nowMs) {
        return router != null && router.updatePools(listed, nowMs);
    }

    /** Notifies the decision module of all pools. */
    void publishPools(BalancerApi balancer, long nowUs) {
        balancer.poolsChanged(nowUs, router == null ? Map.of() : router.endpointIdsByPool());
    }

    /** Selects the pool of each route by eligible endpoints; on a change, logs it and reroutes pending requests. */
    void evaluateSpillover(BalancerApi balancer, long nowUs, Collection<Request> requests) {
        if (router == null || !router.reevaluateSpillover(pool -> balancer.eligibleCount(nowUs, pool))) {
            return;
        }
        Map<String, String> changed = router.spilloverPools();
        logSpillover(changed);
        spilloverPools = changed;
        rerouteRequests(balancer, nowUs, requests);
    }

    /** Logs the changes; of a split route, only the last branch that does not use its preferred pool is considered. */
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

    /** Assigns pending requests their pool by the present routes; established connections stay at their endpoint. */
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

    /** The number of routes of which at least one branch does not use its preferred pool. */
    int spilledRouteCount() {
        return spilloverPools.size();
    }
}

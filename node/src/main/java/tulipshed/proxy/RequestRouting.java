package tulipshed.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.jboss.logging.Logger;
import tulipshed.decision.BalancerApi;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.Settings;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.Request.Attributes;
import tulipshed.routing.Classified;
import tulipshed.routing.Router;
import tulipshed.routing.Subject;

/** Holds transactions to what the operators' rules make of them, and tells the module of pools and routes. */
final class RequestRouting {
    private final Logger log;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private Settings settings;
    private Router router;
    private Map<String, String> spilled = Map.of();

    RequestRouting(Settings settings, NodeLog log) {
        this.log = log.logger("route");
        reconfigure(settings);
    }

    void reconfigure(Settings changed) {
        settings = changed;
        classes.clear();
        tenants.clear();
        changed.classes().forEach(c -> classes.put(c.name(), classes.size()));
        changed.tenants().forEach(t -> tenants.put(t.name(), tenants.size()));
    }

    /** Other rules, or none; the list is what they work on from now on. */
    void router(Router changed, Collection<EndpointInfo> listed, double nowMs) {
        router = changed;
        spilled = Map.of();
        if (router != null) {
            router.members(listed, nowMs);
        }
    }

    /** Whether there is anything to look at now and then. */
    boolean watches() {
        return router != null && (router.routes() || router.agesMatter());
    }

    /** Gives a transaction the class, tenant and group that the rules say. */
    void classify(Request request) {
        if (router == null) {
            return;
        }
        Attributes a = request.attributes();
        Classified c = router.classify(subject(request));
        // Names that the settings have dropped meanwhile change nothing.
        request.attributes(new Attributes(
                classes.getOrDefault(c.className(), a.requestClass()),
                c.tenant() == null ? a.tenant() : tenants.getOrDefault(c.tenant(), a.tenant()),
                a.key(),
                c.group(),
                a.timeoutMs(),
                a.loadHintUsPerS(),
                a.retry(),
                a.reconnecting()));
    }

    /** The pool to which it is held now, or null. */
    String pool(Request request) {
        return router == null || !router.routes() ? null : router.pool(subject(request));
    }

    private Subject subject(Request request) {
        Attributes a = request.attributes();
        String className = settings.classes()
                .get(Math.min(a.requestClass(), settings.classes().size() - 1))
                .name();
        String tenant = a.tenant() < 0 || a.tenant() >= settings.tenants().size()
                ? null
                : settings.tenants().get(a.tenant()).name();
        return new Subject(
                className,
                tenant,
                a.key(),
                a.group(),
                a.timeoutMs(),
                a.loadHintUsPerS(),
                a.retry(),
                a.reconnecting(),
                request.origin());
    }

    /** The list changed, or time has passed; whether the pools are others now. */
    boolean members(Collection<EndpointInfo> listed, double nowMs) {
        return router != null && router.members(listed, nowMs);
    }

    /** Tells the module which pools there are. */
    void tellPools(BalancerApi module, long nowUs) {
        module.poolsChanged(nowUs, router == null ? Map.of() : router.pools());
    }

    /** Looks at which pools the routes use; where that changes, those that wait are told to the module anew. */
    void look(BalancerApi module, long nowUs, Collection<Request> transactions) {
        if (router == null || !router.look(pool -> module.eligibleCount(nowUs, pool))) {
            return;
        }
        Map<String, String> now = router.spilled();
        now.forEach((route, pool) -> {
            if (!pool.equals(spilled.get(route))) {
                log.info(route + " uses pool " + pool + " instead of its preferred pool");
            }
        });
        spilled.keySet().stream()
                .filter(r -> !now.containsKey(r))
                .forEach(r -> log.info(r + " uses its preferred pool again"));
        spilled = now;
        reroute(module, nowUs, transactions);
    }

    /** Those that do not stand yet are held to what the routes say now; what stands stays. */
    void reroute(BalancerApi module, long nowUs, Collection<Request> transactions) {
        for (Request request : transactions) {
            if (request.isPending()) {
                String pool = pool(request);
                if (!Objects.equals(pool, request.pool())) {
                    request.pool(pool);
                    module.requestRerouted(nowUs, request.id(), pool);
                }
            }
        }
    }

    boolean routes() {
        return router != null && router.routes();
    }

    /** How many routes use another pool than their first. */
    int spilled() {
        return spilled.size();
    }
}

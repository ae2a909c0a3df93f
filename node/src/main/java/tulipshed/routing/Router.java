package tulipshed.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import tulipshed.decision.api.EndpointInfo;

/**
 * What the operators' rules make of transactions: class, tenant and group, and the pool that each is held to. It decides
 * nothing else: which member of the pool, and whether at all, stays with the decision module. Without I/O; for one thread.
 */
public final class Router {
    private final Declarations declarations;
    private final RequestSchema schema;
    private final ClassificationRules classification;
    private final PoolMembership pools;
    private final Routes routes;
    private final Map<String, Integer> ready = new HashMap<>();

    /** Any of the parts may be null: there are no such rules then. Routes need pools. */
    public Router(
            Declarations declarations,
            RequestSchema schema,
            ClassificationRules classification,
            PoolMembership pools,
            Routes routes) {
        this.declarations = declarations;
        this.schema = schema;
        this.classification = classification;
        this.pools = pools;
        this.routes = routes;
    }

    /** What fronts must hold transactions to. */
    public Declarations declarations() {
        return declarations;
    }

    /** What the rules make of a transaction. */
    public RequestClassification classify(RequestAttributes s) {
        return classification == null || !schema.fits(s)
                ? new RequestClassification(s.className(), s.tenant(), s.group())
                : classification.classify(s);
    }

    /** The pool to which a transaction, as classified, is held now; null where any member may serve it. */
    public String pool(RequestAttributes s) {
        return routes == null || !schema.fits(s) ? null : routes.pool(s);
    }

    /** The names of the rule and the route that count for a transaction as it came; null where there is none. */
    public String[] names(RequestAttributes s) {
        RequestAttributes classified = s.as(classify(s));
        return new String[] {
            classification == null ? null : classification.rule(s), routes == null ? null : routes.route(classified)
        };
    }

    /** The list changed, or members grew older; whether the pools changed. */
    public boolean members(Collection<EndpointInfo> listed, double nowMs) {
        return pools != null && pools.update(listed, nowMs);
    }

    /** The ids of the members of each pool. */
    public Map<String, Set<String>> pools() {
        return pools == null ? Map.of() : pools.members();
    }

    /** Whether pools may change while the list does not. */
    public boolean agesMatter() {
        return pools != null && pools.ages();
    }

    /** Whether there are routes, whose pools want looking at now and then. */
    public boolean routes() {
        return routes != null;
    }

    /** Asks how many members of each pool are ready; whether any route uses another pool from now on. */
    public boolean look(ToIntFunction<String> readyMembers) {
        if (routes == null) {
            return false;
        }
        ready.clear();
        pools.members().keySet().forEach(name -> ready.put(name, readyMembers.applyAsInt(name)));
        return routes.look(new PoolPreference.Readiness() {
            @Override
            public int ready(String pool) {
                return ready.get(pool);
            }

            @Override
            public double share(String pool) {
                return pools.size(pool) == 0 ? 0 : (double) ready.get(pool) / pools.size(pool);
            }
        });
    }

    /** Routes that use another pool than their first, with the pools that they use. */
    public Map<String, String> spilled() {
        return routes == null ? Map.of() : routes.spilled();
    }
}

package tulipshed.config;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.api.BalancerSettings;

/**
 * Maps the external names of request classes and tenants to their indexes in {@link BalancerSettings#classes()} and
 * {@link BalancerSettings#tenants()}. Immutable.
 */
public final class NameIndex {
    private final Map<String, Integer> classes;
    private final Map<String, Integer> tenants;

    /** Creates an index from copies of these maps. */
    public NameIndex(Map<String, Integer> classes, Map<String, Integer> tenants) {
        this.classes = copy(classes);
        this.tenants = copy(tenants);
    }

    private static Map<String, Integer> copy(Map<String, Integer> indexes) {
        // Copied entry by entry: the copy constructor would choose another capacity and so another iteration order, and
        // suggestions for a misspelled name are tried in iteration order.
        Map<String, Integer> copy = new HashMap<>();
        indexes.forEach(copy::put);
        return Collections.unmodifiableMap(copy);
    }

    /** Creates the index of the names in these settings; of duplicate names the last one is kept. */
    public static NameIndex of(BalancerSettings settings) {
        Map<String, Integer> classes = new HashMap<>();
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(settings.classes().get(i).name(), i);
        }
        Map<String, Integer> tenants = new HashMap<>();
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenants.put(settings.tenants().get(i).name(), i);
        }
        return new NameIndex(classes, tenants);
    }

    /** Returns the index of a request class, or null if there is no class of this name. */
    public Integer classIndex(String name) {
        return classes.get(name);
    }

    /** Returns the index of a tenant, or null if there is no tenant of this name. */
    public Integer tenantIndex(String name) {
        return tenants.get(name);
    }

    /** Returns the names of all request classes; unmodifiable. */
    public Set<String> classNames() {
        return classes.keySet();
    }

    /** Returns the names of all tenants, empty if the site has none; unmodifiable. */
    public Set<String> tenantNames() {
        return tenants.keySet();
    }
}

package tulipshed.config;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.api.BalancerSettings;

/**
 * The external names of request classes and tenants, and their indexes in {@link BalancerSettings#classes()} and {@link
 * BalancerSettings#tenants()}. Immutable.
 */
public final class NameIndex {
    private final Map<String, Integer> classes;
    private final Map<String, Integer> tenants;

    /** An index of these names; the maps are copied. */
    public NameIndex(Map<String, Integer> classes, Map<String, Integer> tenants) {
        this.classes = copy(classes);
        this.tenants = copy(tenants);
    }

    private static Map<String, Integer> copy(Map<String, Integer> indexes) {
        // Entry by entry, as the copy constructor would choose another capacity and so another order of iteration, in
        // which the names are tried as suggestions for a misspelled one.
        Map<String, Integer> copy = new HashMap<>();
        indexes.forEach(copy::put);
        return Collections.unmodifiableMap(copy);
    }

    /** The index of the names in these settings; of equal names the last one counts. */
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

    /** The index of a request class, or null if there is no class of this name. */
    public Integer classIndex(String name) {
        return classes.get(name);
    }

    /** The index of a tenant, or null if there is no tenant of this name. */
    public Integer tenantIndex(String name) {
        return tenants.get(name);
    }

    /** The names of all request classes; unmodifiable. */
    public Set<String> classNames() {
        return classes.keySet();
    }

    /** The names of all tenants, empty if the site has none; unmodifiable. */
    public Set<String> tenantNames() {
        return tenants.keySet();
    }
}

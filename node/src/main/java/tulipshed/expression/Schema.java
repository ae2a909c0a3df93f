package tulipshed.expression;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The attributes that an expression may use, by name. Filled before the first expression is read. */
public final class Schema {
    private final Map<String, Attribute> byName = new LinkedHashMap<>();

    /** Adds one; for strings {@code longest} bounds the characters, for others it means nothing. */
    public Attribute add(String name, Type type, boolean optional, int longest) {
        Attribute a = new Attribute(name, type, optional, longest, byName.size());
        if (byName.putIfAbsent(name, a) != null) {
            throw new IllegalArgumentException(name + " stands twice");
        }
        return a;
    }

    /** The attribute of that name, or null. */
    public Attribute get(String name) {
        return byName.get(name);
    }

    /** All names, in the order added. */
    public Collection<String> names() {
        return Collections.unmodifiableSet(byName.keySet());
    }

    /** All attributes, in the order added. */
    public List<Attribute> all() {
        return new ArrayList<>(byName.values());
    }

    int size() {
        return byName.size();
    }
}

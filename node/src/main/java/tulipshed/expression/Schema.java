package tulipshed.expression;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The attributes that expressions may read, by name. Filled before the first expression is checked. */
public final class Schema {
    private final Map<String, Attribute> byName = new LinkedHashMap<>();

    /** Adds an attribute; {@code maxLength} bounds the characters of a string and means nothing for other types. */
    public Attribute add(String name, Type type, boolean optional, int maxLength) {
        Attribute attribute = new Attribute(name, type, optional, maxLength, byName.size());
        if (byName.putIfAbsent(name, attribute) != null) {
            throw new IllegalArgumentException(name + " is given twice");
        }
        return attribute;
    }

    /** Returns the attribute of that name, or null. */
    public Attribute get(String name) {
        return byName.get(name);
    }

    /** Returns all names, in the order added. */
    public Collection<String> names() {
        return Collections.unmodifiableSet(byName.keySet());
    }

    /** Returns all attributes, in the order added. */
    public List<Attribute> all() {
        return new ArrayList<>(byName.values());
    }

    int size() {
        return byName.size();
    }
}

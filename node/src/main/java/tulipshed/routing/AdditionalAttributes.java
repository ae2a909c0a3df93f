package tulipshed.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Optional attributes of a request, in addition to those of every request: attributes declared by the operators, and
 * those that the QUIC frontend reads from the client's handshake. Immutable.
 */
public final class AdditionalAttributes {
    /** No additional attributes. */
    public static final AdditionalAttributes NONE = new AdditionalAttributes(Map.of());

    private final Map<String, AttributeValue> valuesByName;

    private AdditionalAttributes(Map<String, AttributeValue> valuesByName) {
        this.valuesByName = valuesByName;
    }

    /** Returns an empty builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Whether there are no additional attributes. */
    public boolean isEmpty() {
        return valuesByName.isEmpty();
    }

    /** Returns the value of the attribute with that name, null if the request does not have it. */
    public AttributeValue get(String name) {
        return valuesByName.get(name);
    }

    /** Passes the name in expressions and the value of each attribute to the action, in no particular order. */
    public void forEach(BiConsumer<String, AttributeValue> action) {
        valuesByName.forEach(action);
    }

    /** Collects attributes. For a single use: {@link #build} hands over the collected attributes without copying them. */
    public static final class Builder {
        /** Null until an attribute is added, as most requests have none. */
        private Map<String, AttributeValue> valuesByName;

        private Builder() {}

        /** Adds an attribute by its name in expressions; a second value for a name replaces the first. */
        public Builder put(String name, AttributeValue value) {
            if (valuesByName == null) {
                valuesByName = new HashMap<>();
            }
            valuesByName.put(name, value);
            return this;
        }

        /** Returns the attributes; the builder must not be used afterwards. */
        public AdditionalAttributes build() {
            if (valuesByName == null) {
                return NONE;
            }
            AdditionalAttributes built = new AdditionalAttributes(valuesByName);
            valuesByName = null;
            return built;
        }
    }
}

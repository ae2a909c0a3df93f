package tulipshed.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The attributes that a request carries besides those that every request has: those that the operators have declared, and
 * those that the QUIC frontend reads from the client's handshake. Immutable.
 */
public final class AdditionalAttributes {
    /** No additional attributes. */
    public static final AdditionalAttributes NONE = new AdditionalAttributes(Map.of());

    private final Map<String, AttributeValue> valuesByName;

    private AdditionalAttributes(Map<String, AttributeValue> valuesByName) {
        this.valuesByName = valuesByName;
    }

    /** Returns a builder without attributes. */
    public static Builder builder() {
        return new Builder();
    }

    /** Whether there are none. */
    public boolean isEmpty() {
        return valuesByName.isEmpty();
    }

    /** Returns the value of the attribute of that name, null where the request does not carry it. */
    public AttributeValue get(String name) {
        return valuesByName.get(name);
    }

    /** Passes each attribute, by its name in expressions, in no particular order. */
    public void forEach(BiConsumer<String, AttributeValue> action) {
        valuesByName.forEach(action);
    }

    /** Collects attributes. For one use: {@link #build} hands over what was collected. */
    public static final class Builder {
        /** Null while there is no attribute, as for most requests. */
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

        /** Returns the attributes; the builder is not to be used any more. */
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

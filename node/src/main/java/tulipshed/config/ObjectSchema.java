package tulipshed.config;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The required fields of one JSON object and their types. Additional fields are allowed. Immutable.
 *
 * <p>Fields are checked in the order in which they were added, so that the reported error is deterministic.
 */
final class ObjectSchema {
    /** A schema without required fields. */
    static final ObjectSchema EMPTY = new ObjectSchema(Map.of());

    private final Map<String, ValueType> fields;

    private ObjectSchema(Map<String, ValueType> fields) {
        this.fields = fields;
    }

    /** Returns this schema with one more required field. */
    ObjectSchema with(String key, ValueType type) {
        Map<String, ValueType> extended = new LinkedHashMap<>(fields);
        extended.put(key, type);
        return new ObjectSchema(extended);
    }

    /**
     * Checks a JSON value against this schema.
     *
     * @param location the name of the value in error messages
     * @return the value as a map
     * @throws MalformedInputException if the value is not an object, or a field is missing or of another type
     */
    Map<?, ?> check(String location, Object value) {
        if (!(value instanceof Map<?, ?> object)) {
            throw MalformedInputException.unexpectedValue(location, ValueType.OBJECT.description());
        }
        fields.forEach((key, type) -> {
            if (!object.containsKey(key)) {
                throw MalformedInputException.missing(key, location);
            }
            if (!type.accepts(object.get(key))) {
                throw MalformedInputException.unexpectedValue(key + " of " + location, type.description());
            }
        });
        return object;
    }
}

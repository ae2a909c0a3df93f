package tulipshed.config;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The required fields of one JSON object and their types. Further fields are allowed. Immutable.
 *
 * <p>Fields are checked in the order in which they were added, so that the first error is always the same one.
 */
final class ObjectSchema {
    /** A schema without required fields. */
    static final ObjectSchema EMPTY = new ObjectSchema(Map.of());

    private final Map<String, ValueType> fields;

    private ObjectSchema(Map<String, ValueType> fields) {
        this.fields = fields;
    }

    /** This schema with one more required field. */
    ObjectSchema with(String key, ValueType type) {
        Map<String, ValueType> extended = new LinkedHashMap<>(fields);
        extended.put(key, type);
        return new ObjectSchema(extended);
    }

    /**
     * Checks a JSON value against this schema.
     *
     * @param where names the value in error messages
     * @return the value as a map
     * @throws MalformedInputException if the value is no object, or a field is missing or of another type
     */
    Map<?, ?> check(String where, Object value) {
        if (!(value instanceof Map<?, ?> object)) {
            throw MalformedInputException.unexpectedValue(where, ValueType.OBJECT.description());
        }
        fields.forEach((key, type) -> {
            if (!object.containsKey(key)) {
                throw MalformedInputException.missing(key, where);
            }
            if (!type.accepts(object.get(key))) {
                throw MalformedInputException.unexpectedValue(key + " of " + where, type.description());
            }
        });
        return object;
    }
}

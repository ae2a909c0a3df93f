package tulipshed.config;

import java.util.List;
import java.util.Map;
import tulipshed.time.Clock;

/**
 * Typed access to the fields of one JSON object, as {@link JsonValues} reads it. A field that is absent or of another
 * type yields the default that the caller names; what must be present is checked by {@link ConfigValidator} before.
 */
final class JsonObject {

    private final Map<String, Object> fields;

    private JsonObject(Map<String, Object> fields) {
        this.fields = fields;
    }

    /** The object that is this JSON value; empty if the value is null or no object. */
    @SuppressWarnings("unchecked")
    static JsonObject of(Object value) {
        return new JsonObject(value instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of());
    }

    /** The fields by their keys. */
    Map<String, Object> fields() {
        return fields;
    }

    /** A nested object, empty if there is none. */
    JsonObject object(String key) {
        return of(fields.get(key));
    }

    /** A list, empty if there is none. */
    @SuppressWarnings("unchecked")
    List<Object> list(String key) {
        return fields.get(key) instanceof List<?> list ? (List<Object>) list : List.of();
    }

    /** A string. */
    String string(String key, String defaultValue) {
        return fields.get(key) instanceof String text ? text : defaultValue;
    }

    /** A flag. */
    boolean flag(String key, boolean defaultValue) {
        return fields.get(key) instanceof Boolean flag ? flag : defaultValue;
    }

    /** A number. */
    double number(String key, double defaultValue) {
        return fields.get(key) instanceof Double number ? number : defaultValue;
    }

    /** A number without its fraction. */
    int integer(String key, int defaultValue) {
        return (int) number(key, defaultValue);
    }

    /** A time, which JSON gives in seconds, in microseconds. */
    long micros(String key, double defaultSeconds) {
        return Clock.secondsToMicros(number(key, defaultSeconds));
    }
}

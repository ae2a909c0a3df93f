package tulipshed.config;

import java.util.List;
import java.util.Map;
import tulipshed.time.Clock;

/**
 * Typed access to the fields of one JSON object that was read by {@link JsonValues}. A field that is absent or of
 * another type yields the caller's default; {@link ConfigValidator} checks the required fields beforehand.
 */
final class JsonObject {

    private final Map<String, Object> fields;

    private JsonObject(Map<String, Object> fields) {
        this.fields = fields;
    }

    /** Wraps a JSON value; the result is empty if the value is null or not an object. */
    @SuppressWarnings("unchecked")
    static JsonObject of(Object value) {
        return new JsonObject(value instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of());
    }

    /** Returns the fields by key. */
    Map<String, Object> fields() {
        return fields;
    }

    /** Returns a nested object, empty if there is none. */
    JsonObject object(String key) {
        return of(fields.get(key));
    }

    /** Returns a list, empty if there is none. */
    @SuppressWarnings("unchecked")
    List<Object> list(String key) {
        return fields.get(key) instanceof List<?> list ? (List<Object>) list : List.of();
    }

    /** Returns a string field. */
    String string(String key, String defaultValue) {
        return fields.get(key) instanceof String text ? text : defaultValue;
    }

    /** Returns a Boolean field. */
    boolean flag(String key, boolean defaultValue) {
        return fields.get(key) instanceof Boolean flag ? flag : defaultValue;
    }

    /** Returns a numeric field. */
    double number(String key, double defaultValue) {
        return fields.get(key) instanceof Double number ? number : defaultValue;
    }

    /** Returns a numeric field truncated to an integer. */
    int integer(String key, int defaultValue) {
        return (int) number(key, defaultValue);
    }

    /** Returns a duration that JSON gives in seconds, converted to microseconds. */
    long micros(String key, double defaultSeconds) {
        return Clock.secondsToMicros(number(key, defaultSeconds));
    }
}

package tulipshed.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a configuration has every required field, each with the required type. A truncated or partly written file
 * must be rejected instead of being completed with defaults.
 */
final class ConfigValidator {
    private ConfigValidator() {}

    /**
     * Checks a complete configuration file.
     *
     * @throws MalformedInputException for the first field that is missing or invalid
     */
    static void check(Map<String, Object> json) {
        ConfigSchema.FILE.check("the file", json);
        ConfigSchema.LIMITS.check("limits", json.get("limits"));
        ConfigSchema.KNOWN.check("known", json.get("known"));
        Map<?, ?> settings = ConfigSchema.SETTINGS.check("settings", json.get("settings"));
        ConfigSchema.SETTINGS_OBJECTS.forEach((key, schema) -> schema.check(key, settings.get(key)));
        checkClasses(settings);
        checkNamedEntries("Tenants", settings, ConfigSchema.TENANT);
    }

    private static void checkClasses(Map<?, ?> settings) {
        List<?> classes = checkNamedEntries("Classes", settings, ConfigSchema.CLASS);
        if (classes.isEmpty()) {
            throw new MalformedInputException("Classes is empty, expected at least one entry");
        }
        for (Object entry : classes) {
            Map<?, ?> requestClass = (Map<?, ?>) entry;
            checkChoice("Effect", requestClass, ConfigSchema.EFFECTS);
            checkChoice("Group", requestClass, ConfigSchema.GROUPS);
        }
    }

    private static void checkChoice(String key, Map<?, ?> object, Set<String> choices) {
        Object value = object.get(key);
        if (!choices.contains(value)) {
            throw new MalformedInputException(
                    key + " is not one of " + choices.stream().sorted().toList() + ": " + value);
        }
    }

    /** Checks the entries of a list in {@code settings}, whose {@code Name} must be unique, and returns the list. */
    private static List<?> checkNamedEntries(String key, Map<?, ?> settings, ObjectSchema schema) {
        List<?> entries = (List<?>) settings.get(key);
        Set<Object> names = new HashSet<>();
        for (Object entry : entries) {
            Object name = schema.check("an entry of " + key, entry).get("Name");
            if (!names.add(name)) {
                throw new MalformedInputException(key + " has a duplicate Name");
            }
        }
        return entries;
    }
}

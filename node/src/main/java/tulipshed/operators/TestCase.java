package tulipshed.operators;

import java.util.Map;
import tulipshed.routing.AttributeValue;
import tulipshed.sexpr.SourcePosition;

/**
 * A case of a table.
 *
 * @param given the attributes of the request by their names in expressions
 * @param expected what the rules must give: a class, tenant, group, rule, route or pool, by these words
 */
record TestCase(SourcePosition place, String name, Map<String, AttributeValue> given, Map<String, String> expected) {

    /** Returns a given value as it is written, or null. */
    String text(String attribute) {
        return text(given.get(attribute));
    }

    /** Returns a given value as it is written, or {@code fallback}. */
    String text(String attribute, String fallback) {
        return given.containsKey(attribute) ? text(attribute) : fallback;
    }

    /** Returns a given number, or {@code fallback} where the value is missing or no number. */
    double number(String attribute, double fallback) {
        AttributeValue value = given.get(attribute);
        if (value instanceof AttributeValue.IntegerValue integer) {
            return integer.value();
        }
        return value instanceof AttributeValue.DecimalValue decimal ? decimal.value() : fallback;
    }

    /** Whether a given value is true. */
    boolean isTrue(String attribute) {
        return given.get(attribute) instanceof AttributeValue.BooleanValue value && value.value();
    }

    /** Returns a value as it is written, or null where there is none. */
    static String text(AttributeValue value) {
        if (value instanceof AttributeValue.StringValue string) {
            return string.value();
        } else if (value instanceof AttributeValue.IntegerValue integer) {
            return Long.toString(integer.value());
        } else if (value instanceof AttributeValue.DecimalValue decimal) {
            return Double.toString(decimal.value());
        } else if (value instanceof AttributeValue.BooleanValue bool) {
            return Boolean.toString(bool.value());
        }
        return null;
    }
}

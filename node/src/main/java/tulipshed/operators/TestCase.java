package tulipshed.operators;

import java.util.Map;
import tulipshed.routing.AttributeValue;
import tulipshed.sexpr.SourcePosition;

/**
 * A test case of a table of cases.
 *
 * @param given the attributes of the request by name, as in expressions
 * @param expected the expected results of the rules by name: class, tenant, group, rule, route or pool
 */
record TestCase(SourcePosition place, String name, Map<String, AttributeValue> given, Map<String, String> expected) {

    /** Returns an attribute of the request as text, or null if it is missing. */
    String text(String attribute) {
        return text(given.get(attribute));
    }

    /** Returns an attribute of the request as text, or {@code fallback} if it is missing. */
    String text(String attribute, String fallback) {
        return given.containsKey(attribute) ? text(attribute) : fallback;
    }

    /** Returns a numeric attribute of the request, or {@code fallback} if it is missing or not a number. */
    double number(String attribute, double fallback) {
        AttributeValue value = given.get(attribute);
        if (value instanceof AttributeValue.IntegerValue integer) {
            return integer.value();
        }
        return value instanceof AttributeValue.DecimalValue decimal ? decimal.value() : fallback;
    }

    /** Returns whether an attribute of the request is the boolean true. */
    boolean isTrue(String attribute) {
        return given.get(attribute) instanceof AttributeValue.BooleanValue value && value.value();
    }

    /** Returns a value as text, or null for null. */
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

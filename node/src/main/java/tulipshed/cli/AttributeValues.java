package tulipshed.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import tulipshed.config.MalformedInputException;
import tulipshed.expression.Attribute;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Expression;
import tulipshed.expression.Network;
import tulipshed.expression.Schema;
import tulipshed.expression.Type;
import tulipshed.routing.AttributeDeclaration;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.routing.AttributeValue;
import tulipshed.routing.EndpointSchema;
import tulipshed.routing.RequestSchema;

/**
 * Attribute values given on the command line as {@code NAME=VALUE}, for the evaluation of one expression. A name that
 * is not an attribute of a request or an endpoint declares a new attribute, whose type is inferred from the value.
 */
final class AttributeValues {
    /** The maximum length of a string attribute, in characters. */
    private static final int MAX_STRING_LENGTH = 256;

    private static final Pattern INTEGER = Pattern.compile("-?[0-9]+");
    private static final Pattern DECIMAL = Pattern.compile("-?[0-9]+\\.[0-9]+");

    private final Map<String, String> textByName;
    private final Schema schema;

    private AttributeValues(Map<String, String> textByName) {
        this.textByName = textByName;
        schema = schemaWith(textByName);
    }

    /** Parses assignments; of several to the same name the last one applies. */
    static AttributeValues parse(List<String> assignments) {
        Map<String, String> textByName = new LinkedHashMap<>();
        for (String assignment : assignments) {
            int equals = assignment.indexOf('=');
            if (equals <= 0) {
                throw new MalformedInputException("--with requires NAME=VALUE, got " + assignment);
            }
            textByName.put(assignment.substring(0, equals), assignment.substring(equals + 1));
        }
        return new AttributeValues(textByName);
    }

    /** Returns the attributes of requests and endpoints, and those declared on the command line. */
    Schema schema() {
        return schema;
    }

    /**
     * Sets the values in a frame after {@link EvaluationFrame#begin}.
     *
     * @throws MalformedInputException if a value does not have its attribute's type, or if the expression reads a
     *     required attribute that has no value
     */
    void setIn(EvaluationFrame frame, Expression expression) {
        for (Attribute attribute : schema.all()) {
            String name = attribute.name();
            if (textByName.containsKey(name)) {
                set(frame, attribute, textByName.get(name));
            } else if (!attribute.optional() && expression.references(name)) {
                throw new MalformedInputException(
                        "the expression reads " + name + ", which has no value; set it with --with " + name + "=...");
            }
        }
    }

    private static Schema schemaWith(Map<String, String> textByName) {
        Schema schema = new Schema();
        AttributeDeclarations noDeclarations =
                new AttributeDeclarations(Map.of(), MAX_STRING_LENGTH, MAX_STRING_LENGTH);
        addAll(
                schema,
                new RequestSchema(MAX_STRING_LENGTH, MAX_STRING_LENGTH, noDeclarations, MAX_STRING_LENGTH).schema());
        addAll(schema, new EndpointSchema().schema());
        textByName.forEach((name, text) -> {
            if (schema.get(name) == null) {
                schema.add(name, typeOf(text), true, MAX_STRING_LENGTH);
            }
        });
        return schema;
    }

    private static void addAll(Schema schema, Schema added) {
        for (Attribute attribute : added.all()) {
            schema.add(attribute.name(), attribute.type(), attribute.optional(), attribute.maxLength());
        }
    }

    private static Type typeOf(String text) {
        if (INTEGER.matcher(text).matches()) {
            return Type.INTEGER;
        }
        if (DECIMAL.matcher(text).matches()) {
            return Type.DECIMAL;
        }
        return text.equals("true") || text.equals("false") ? Type.BOOLEAN : Type.STRING;
    }

    private static void set(EvaluationFrame frame, Attribute attribute, String text) {
        if (attribute.type() == Type.ADDRESS) {
            setAddress(frame, attribute, text);
            return;
        }
        AttributeValue value = declarationOf(attribute).parse(attribute.name(), text);
        if (value instanceof AttributeValue.StringValue string) {
            frame.set(attribute, string.value());
        } else if (value instanceof AttributeValue.IntegerValue integer) {
            frame.set(attribute, integer.value());
        } else if (value instanceof AttributeValue.DecimalValue decimal) {
            frame.set(attribute, decimal.value());
        } else if (value instanceof AttributeValue.BooleanValue bool) {
            frame.set(attribute, bool.value());
        } else {
            throw wrongType(attribute, text);
        }
    }

    private static void setAddress(EvaluationFrame frame, Attribute attribute, String text) {
        Network address = Network.parse(text);
        if (address == null) {
            throw wrongType(attribute, text);
        }
        frame.set(attribute, address.high(), address.low());
    }

    /** Returns a declaration of the attribute, which parses values as in the line protocol. */
    private static AttributeDeclarations declarationOf(Attribute attribute) {
        return new AttributeDeclarations(
                Map.of(attribute.name(), new AttributeDeclaration(attribute.type(), attribute.maxLength())), 1, 1);
    }

    private static MalformedInputException wrongType(Attribute attribute, String text) {
        return new MalformedInputException(text + " is not a valid value of " + attribute.name() + ", expected "
                + attribute.type()
                + (attribute.type() == Type.STRING ? " of at most " + attribute.maxLength() + " characters" : ""));
    }
}

package tulipshed.routing;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import tulipshed.routing.AttributeValue.BooleanValue;
import tulipshed.routing.AttributeValue.DecimalValue;
import tulipshed.routing.AttributeValue.IntegerValue;
import tulipshed.routing.AttributeValue.StringValue;

/**
 * The declared additional attributes of requests, and the maximum lengths of strings. Frontends reject requests that violate
 * them as malformed, so that expressions never read such values.
 */
public final class AttributeDeclarations {
    /** No declarations: additional attributes are ignored, and only the length of a line limits strings. */
    public static final AttributeDeclarations NONE =
            new AttributeDeclarations(Map.of(), Integer.MAX_VALUE, Integer.MAX_VALUE);

    private static final int MAX_NUMBER_LENGTH = 20;
    private static final String INTEGER_PATTERN = "-?[0-9]+";
    private static final String DECIMAL_PATTERN = "-?[0-9]+(\\.[0-9]+)?";

    private final Map<String, AttributeDeclaration> byName;
    private final int maxKeyLength;
    private final int maxGroupLength;

    /**
     * Creates declarations of the additional attributes with these names.
     *
     * @param byName the declarations by attribute name, in the order of the operators' file
     * @param maxKeyLength the maximum number of characters of an idempotency key
     * @param maxGroupLength the maximum number of characters of an affinity group
     */
    public AttributeDeclarations(Map<String, AttributeDeclaration> byName, int maxKeyLength, int maxGroupLength) {
        this.byName = Collections.unmodifiableMap(new LinkedHashMap<>(byName));
        this.maxKeyLength = maxKeyLength;
        this.maxGroupLength = maxGroupLength;
    }

    /** Returns the declarations by attribute name, in the order of the operators' file. */
    public Map<String, AttributeDeclaration> byName() {
        return byName;
    }

    /** Returns the maximum number of characters of an idempotency key. */
    public int maxKeyLength() {
        return maxKeyLength;
    }

    /** Returns the maximum number of characters of an affinity group. */
    public int maxGroupLength() {
        return maxGroupLength;
    }

    /**
     * Parses the value of a declared attribute.
     *
     * @return the value, null if the text is not of the declared type or is too long
     */
    public AttributeValue parse(String name, String text) {
        AttributeDeclaration declaration = byName.get(name);
        return switch (declaration.type()) {
            case STRING -> text.length() <= declaration.maxLength() ? new StringValue(text) : null;
            case BOOLEAN -> parseBoolean(text);
            case INTEGER -> parseInteger(text);
            default -> parseDecimal(text);
        };
    }

    private static BooleanValue parseBoolean(String text) {
        return switch (text) {
            case "1", "true" -> BooleanValue.TRUE;
            case "0", "false" -> BooleanValue.FALSE;
            default -> null;
        };
    }

    private static IntegerValue parseInteger(String text) {
        if (text.length() > MAX_NUMBER_LENGTH || !text.matches(INTEGER_PATTERN)) {
            return null;
        }
        try {
            return new IntegerValue(Long.parseLong(text));
        } catch (NumberFormatException outOfRange) {
            return null;
        }
    }

    private static DecimalValue parseDecimal(String text) {
        if (text.length() > MAX_NUMBER_LENGTH || !text.matches(DECIMAL_PATTERN)) {
            return null;
        }
        return new DecimalValue(Double.parseDouble(text));
    }
}

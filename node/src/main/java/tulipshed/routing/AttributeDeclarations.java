package tulipshed.routing;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import tulipshed.routing.AttributeValue.BooleanValue;
import tulipshed.routing.AttributeValue.DecimalValue;
import tulipshed.routing.AttributeValue.IntegerValue;
import tulipshed.routing.AttributeValue.StringValue;

/**
 * Which additional attributes a request may carry, and how long its strings may be. A frontend rejects as malformed a
 * request that violates them, so that no expression ever reads it.
 */
public final class AttributeDeclarations {
    /** Nothing declared: additional attributes are ignored, and strings are bounded by the length of a line only. */
    public static final AttributeDeclarations NONE =
            new AttributeDeclarations(Map.of(), Integer.MAX_VALUE, Integer.MAX_VALUE);

    private static final int MAX_NUMBER_LENGTH = 20;
    private static final String INTEGER_PATTERN = "-?[0-9]+";
    private static final String DECIMAL_PATTERN = "-?[0-9]+(\\.[0-9]+)?";

    private final Map<String, AttributeDeclaration> byName;
    private final int maxKeyLength;
    private final int maxGroupLength;

    /**
     * Declares the additional attributes of these names.
     *
     * @param byName the declarations, in the order in which they are listed
     * @param maxKeyLength the characters of an idempotency key at most
     * @param maxGroupLength the characters of an affinity group at most
     */
    public AttributeDeclarations(Map<String, AttributeDeclaration> byName, int maxKeyLength, int maxGroupLength) {
        this.byName = Collections.unmodifiableMap(new LinkedHashMap<>(byName));
        this.maxKeyLength = maxKeyLength;
        this.maxGroupLength = maxGroupLength;
    }

    /** Returns the declarations by name, in the order in which they were listed. */
    public Map<String, AttributeDeclaration> byName() {
        return byName;
    }

    /** Returns the characters of an idempotency key at most. */
    public int maxKeyLength() {
        return maxKeyLength;
    }

    /** Returns the characters of an affinity group at most. */
    public int maxGroupLength() {
        return maxGroupLength;
    }

    /**
     * Parses the value of a declared attribute.
     *
     * @return null where the text is not of the declared type, or too long
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

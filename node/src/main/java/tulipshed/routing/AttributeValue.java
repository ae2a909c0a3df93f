package tulipshed.routing;

/** The value of an additional attribute of a request, of the declared type. */
public sealed interface AttributeValue {
    /** A string, not longer than its declaration allows. */
    record StringValue(String value) implements AttributeValue {}

    /** A 64-bit integer. */
    record IntegerValue(long value) implements AttributeValue {}

    /** A decimal number. */
    record DecimalValue(double value) implements AttributeValue {}

    /** A truth value. */
    record BooleanValue(boolean value) implements AttributeValue {
        public static final BooleanValue TRUE = new BooleanValue(true);
        public static final BooleanValue FALSE = new BooleanValue(false);
    }
}

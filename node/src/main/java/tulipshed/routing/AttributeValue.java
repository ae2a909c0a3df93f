package tulipshed.routing;

/** The value of one additional attribute of a request, of the type that its declaration has. */
public sealed interface AttributeValue {
    /** A string, of at most as many characters as its declaration allows. */
    record StringValue(String value) implements AttributeValue {}

    /** An integer of 64 bits. */
    record IntegerValue(long value) implements AttributeValue {}

    /** A decimal number. */
    record DecimalValue(double value) implements AttributeValue {}

    /** A truth value. */
    record BooleanValue(boolean value) implements AttributeValue {
        public static final BooleanValue TRUE = new BooleanValue(true);
        public static final BooleanValue FALSE = new BooleanValue(false);
    }
}

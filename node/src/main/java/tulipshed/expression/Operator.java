package tulipshed.expression;

/** What a checked expression does. What can be said by others (cond, let, !=, &gt;) has been turned into them. */
enum Operator {
    LITERAL(""),
    ATTRIBUTE(""),
    PRESENT("present"),
    DEFAULT("default"),
    NOT("not"),
    AND("and"),
    OR("or"),
    IF("if"),
    EQUAL("="),
    LESS("<"),
    AT_MOST("<="),
    ADD("+"),
    SUBTRACT("-"),
    MULTIPLY("*"),
    DIVIDE("/"),
    MODULO("mod"),
    LEAST("min"),
    MOST("max"),
    TO_DECIMAL("decimal"),
    TO_INTEGER("integer"),
    TO_STRING("string"),
    IN("in"),
    PREFIX("prefix"),
    SUFFIX("suffix"),
    CONTAINS("contains"),
    SUBSTRING("substring"),
    CONCAT("concat"),
    LOWER("lower"),
    LENGTH("length"),
    MATCHES("matches"),
    IN_NETWORK("in-network"),
    HASH("hash"),
    BUCKET("bucket");

    /** What operators write. */
    final String written;

    Operator(String written) {
        this.written = written;
    }
}

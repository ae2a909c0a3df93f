package tulipshed.expression;

/**
 * Something that expressions may ask of a transaction or a member.
 *
 * @param name what expressions call it
 * @param type what it is
 * @param optional whether one may lack it; an expression must then say what holds instead
 * @param longest of a string: characters at most, which whoever fills a {@link EvaluationFrame} must keep to
 * @param slot its place in a {@link EvaluationFrame}
 */
public record Attribute(String name, Type type, boolean optional, int longest, int slot) {}

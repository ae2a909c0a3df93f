package tulipshed.expression;

/**
 * An attribute of a request or an endpoint that expressions may read.
 *
 * @param name its name in expressions
 * @param type the type of its value
 * @param optional whether it may be missing; an expression must then give a default
 * @param maxLength the length at most, in characters, of a string, to which whoever fills an {@link EvaluationFrame} keeps
 * @param slot its index in an {@link EvaluationFrame}
 */
public record Attribute(String name, Type type, boolean optional, int maxLength, int slot) {}

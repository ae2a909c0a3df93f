package tulipshed.routing;

import tulipshed.expression.Type;

/**
 * The declaration of one additional attribute of requests.
 *
 * @param type the type of its values
 * @param maxLength of a string, its characters at most; 0 for other types
 */
public record AttributeDeclaration(Type type, int maxLength) {}

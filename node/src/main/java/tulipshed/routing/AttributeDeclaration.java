package tulipshed.routing;

import tulipshed.expression.Type;

/**
 * The declaration of one additional attribute of requests.
 *
 * @param type the type of its values
 * @param maxLength the maximum number of characters of a string; 0 for other types
 */
public record AttributeDeclaration(Type type, int maxLength) {}

package tulipshed.sexpr;

/**
 * The limits of a file of S-expressions; what exceeds one is an error.
 *
 * @param bytes the size
 * @param depth how deep brackets are nested
 * @param forms the number of forms
 */
public record ReaderLimits(int bytes, int depth, int forms) {}

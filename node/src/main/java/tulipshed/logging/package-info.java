/** The log of a node: a facade with levels and named loggers, whose records are written as lines of text. */
@NullMarked
package tulipshed.logging;

import org.jspecify.annotations.NullMarked;

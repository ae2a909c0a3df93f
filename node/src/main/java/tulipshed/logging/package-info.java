/** The log of a node: one facade with levels and named loggers, written as lines of text. */
@NullMarked
package tulipshed.logging;

import org.jspecify.annotations.NullMarked;

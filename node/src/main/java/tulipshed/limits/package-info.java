/** Sizes, counts and timeouts of a node that are not settings of its site, with their default values. */
@NullMarked
package tulipshed.limits;

import org.jspecify.annotations.NullMarked;

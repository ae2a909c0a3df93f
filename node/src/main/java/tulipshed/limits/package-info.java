/** The sizes, counts and timeouts of a node that are no settings of its site: their meaning and their default values. */
@NullMarked
package tulipshed.limits;

import org.jspecify.annotations.NullMarked;

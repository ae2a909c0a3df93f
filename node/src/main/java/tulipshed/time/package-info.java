/**
 * The node's two sources of time, which do not mix: monotonic time for spans, wall time for what is shown or exchanged; and
 * conversions between the units of time that the program uses.
 */
@NullMarked
package tulipshed.time;

import org.jspecify.annotations.NullMarked;

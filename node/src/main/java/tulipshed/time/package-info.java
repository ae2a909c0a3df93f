/**
 * The node's two sources of time, which must not be mixed: monotonic time for durations, wall time for times that are
 * displayed or exchanged. Also conversions between the units of time that the program uses.
 */
@NullMarked
package tulipshed.time;

import org.jspecify.annotations.NullMarked;

/**
 * The node's two sources of time, which do not mix: monotonic time for spans, wall time for what is shown or exchanged; and
 * conversions between the units of time that the program uses.
 */
package tulipshed.time;

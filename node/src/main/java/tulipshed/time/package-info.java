/** The node's source of time, and conversions between the units of time that the program uses. */
package tulipshed.time;

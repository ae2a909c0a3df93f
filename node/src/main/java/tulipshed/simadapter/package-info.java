/**
 * The adapter between the simulator and the decision module: reads batches of events from standard input as lines of
 * JSON, dispatches each event to its instance, and writes the actions as lines of JSON. It makes no decisions.
 */
package tulipshed.simadapter;

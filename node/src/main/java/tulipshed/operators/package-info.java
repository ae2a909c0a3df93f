/** Reads the operators' file and its table of cases; reports all errors together, each with its place. */
package tulipshed.operators;

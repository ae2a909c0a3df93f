/** Readers of the operators' file and of its tables of test cases; errors are reported together, each with its position. */
package tulipshed.operators;

/** Reads the operators' file and tables of test cases for it; errors are reported together, each with its position. */
package tulipshed.operators;

/** Reads the operators' file and tables of cases for it; all errors are reported together, each with its position. */
package tulipshed.operators;

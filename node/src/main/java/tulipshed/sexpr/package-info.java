/** S-expressions with the position of each form, diagnostics of a file, and suggestions for misspelt names. */
package tulipshed.sexpr;

/** S-expressions with the place of each form, problems reported together, and the nearest known name. */
package tulipshed.sexpr;

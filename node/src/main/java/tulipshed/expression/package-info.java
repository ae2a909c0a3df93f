/** The typed expression language of the operators' file: parsing into typed trees, bounds on the cost of evaluation, the compiled form, and tables of rules. */
package tulipshed.expression;

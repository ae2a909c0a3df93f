/**
 * The typed expression language of the operators' file: type inference ({@link tulipshed.expression.TypeChecker}), bounds
 * on the cost of evaluation ({@link tulipshed.expression.CostModel}), compilation to a tree of evaluation nodes
 * ({@link tulipshed.expression.Program}), and rule tables ({@link tulipshed.expression.RuleTable}).
 */
package tulipshed.expression;

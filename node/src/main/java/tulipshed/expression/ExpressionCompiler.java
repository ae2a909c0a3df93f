package tulipshed.expression;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Compiles checked expressions to evaluation nodes; a common subexpression becomes one node. */
final class ExpressionCompiler {
    private final Map<Expression, EvaluationNode> compiled = new HashMap<>();
    private final FrameLayout layout = new FrameLayout();

    FrameLayout layout() {
        return layout;
    }

    EvaluationNode compile(Expression expression) {
        EvaluationNode node = compiled.get(expression);
        if (node == null) {
            node = expression.operator.compile(expression, compileAll(expression.arguments), layout);
            if (expression.isCached()) {
                node = new CachedNode(node, layout.addCacheSlot());
            }
            compiled.put(expression, node);
        }
        return node;
    }

    private EvaluationNode[] compileAll(List<Expression> expressions) {
        EvaluationNode[] nodes = new EvaluationNode[expressions.size()];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = compile(expressions.get(i));
        }
        return nodes;
    }
}

package tulipshed.expression;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.sexpr.SourcePosition;

/**
 * Expands definitions where they are used. Expansions are memoized by their arguments, so definitions that use others
 * twice cost no more than their length; one that uses itself is an error.
 */
final class DefinitionExpander {
    private final TypeInference inference;
    private final Map<Use, Expression> expansions = new HashMap<>();
    private final Set<String> inProgress = new LinkedHashSet<>();
    private int count;

    private record Use(String name, List<Expression> arguments) {}

    DefinitionExpander(TypeInference inference) {
        this.inference = inference;
    }

    /** Returns how many expansions were made, other than from memory. */
    int count() {
        return count;
    }

    /** Returns the body of a definition with the arguments for its parameters; errors are reported at {@code place}. */
    Expression expand(Definition definition, List<Expression> arguments, SourcePosition place) {
        String name = definition.name();
        Use use = new Use(name, arguments);
        Expression known = expansions.get(use);
        if (known != null) {
            return known;
        }
        if (!inProgress.add(name)) {
            return inference.error(
                    place, name + " is defined by itself: " + String.join(" -> ", inProgress) + " -> " + name);
        }
        count++;
        Map<String, Expression> parameters = new HashMap<>();
        for (int i = 0; i < arguments.size(); i++) {
            parameters.put(definition.parameters().get(i), arguments.get(i));
        }
        Expression expansion;
        try {
            expansion = inference.inferDefinitionBody(parameters, definition.body());
        } finally {
            inProgress.remove(name);
        }
        expansions.put(use, expansion);
        return expansion;
    }
}

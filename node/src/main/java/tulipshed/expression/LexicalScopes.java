package tulipshed.expression;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Map;

/** The names bound by {@code let} and by the parameters of definitions, from the innermost scope outwards. */
final class LexicalScopes {
    private final ArrayDeque<Scope> scopes = new ArrayDeque<>();

    /** Names with their expressions; an isolated scope hides all scopes around it. */
    private record Scope(Map<String, Expression> bindings, boolean isolated) {}

    /** Enters a scope that also sees the names around it. */
    void enter(Map<String, Expression> bindings) {
        scopes.push(new Scope(bindings, false));
    }

    /** Enters the body of a definition, which sees its parameters and nothing of where it is used. */
    void enterDefinition(Map<String, Expression> parameters) {
        scopes.push(new Scope(parameters, true));
    }

    void exit() {
        scopes.pop();
    }

    /** Returns what a name is bound to, or null. */
    Expression lookUp(String name) {
        for (Scope scope : scopes) {
            Expression expression = scope.bindings().get(name);
            if (expression != null || scope.isolated()) {
                return expression;
            }
        }
        return null;
    }

    /** Adds all names that are visible. */
    void addVisibleNames(Collection<String> names) {
        for (Scope scope : scopes) {
            names.addAll(scope.bindings().keySet());
            if (scope.isolated()) {
                break;
            }
        }
    }
}

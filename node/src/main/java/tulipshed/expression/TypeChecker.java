package tulipshed.expression;

import java.util.Collection;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/**
 * Checks forms and makes expressions of them. Every error is reported with its position, and checking goes on, so that
 * all errors of a file are reported together.
 */
public final class TypeChecker {
    private final Diagnostics diagnostics;
    private final DefinitionTable definitions;
    private final TypeInference inference;

    /** Creates a checker of expressions over the attributes of a schema. */
    public TypeChecker(Schema schema, Diagnostics diagnostics) {
        this.diagnostics = diagnostics;
        definitions = new DefinitionTable(schema);
        inference = new TypeInference(schema, definitions, diagnostics);
    }

    /** Returns the interner of all expressions that this checker makes. */
    public ExpressionInterner interner() {
        return inference.interner();
    }

    /**
     * Adds a definition, {@code (define NAME EXPRESSION)} or {@code (define (NAME PARAMETER ...) EXPRESSION)}.
     * Definitions may use each other in any order.
     */
    public void define(Form.Sequence form) {
        definitions.add(form, diagnostics);
    }

    /** Returns the names that are defined. */
    public Collection<String> definitionNames() {
        return definitions.names();
    }

    /** Returns the errors of a definition, used or not; one with parameters is checked where it is used. */
    public Diagnostics checkDefinition(String name) {
        Diagnostics ofDefinition = new Diagnostics("");
        Definition definition = definitions.get(name);
        if (definition != null && !definition.isFunction()) {
            inference.inferDefinition(definition, ofDefinition);
        }
        return ofDefinition;
    }

    /** Returns an expression that must be of that type and never missing; null, with errors reported, otherwise. */
    public Expression check(Form form, Type type) {
        int errorsBefore = diagnostics.count();
        Expression expression = inference.convert(inference.inferRequired(form), type);
        if (!expression.isUnknown() && expression.type != type) {
            diagnostics.add(
                    form.place(),
                    "expected " + type.withArticle() + ", found " + expression.type.withArticle() + ": " + expression);
        }
        return diagnostics.count() > errorsBefore || expression.isUnknown() ? null : expression;
    }

    /** Returns an expression of any type that is never missing; null, with errors reported, otherwise. */
    public Expression infer(Form form) {
        int errorsBefore = diagnostics.count();
        Expression expression = inference.inferRequired(form);
        return diagnostics.count() > errorsBefore || expression.isUnknown() ? null : expression;
    }
}

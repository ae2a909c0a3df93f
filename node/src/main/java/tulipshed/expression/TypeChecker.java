package tulipshed.expression;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.SourcePosition;

/**
 * Infers the types of forms and makes checked expressions of them. Every error is reported with its position, and
 * checking goes on, so that all errors of a file are reported together.
 */
public final class TypeChecker {
    /** Limits the recursion, so that it fits a stack of 512 KB many times. */
    private static final int MAX_DEPTH = 250;

    /** Limits the memory of one file. */
    private static final int MAX_EXPRESSIONS = 120_000;

    /** Limits the time that the definitions of one file take. */
    private static final int MAX_EXPANSIONS = 2_000_000;

    private static final String TRUE = "true";
    private static final String FALSE = "false";

    private final Schema schema;
    private final ExpressionInterner interner = new ExpressionInterner();
    private final Map<String, Definition> definitions = new LinkedHashMap<>();
    private final LexicalScopes scopes = new LexicalScopes();
    private final DefinitionExpander expander = new DefinitionExpander(this);
    private Diagnostics diagnostics;
    private int depth;

    /** Creates a checker of expressions over the attributes of a schema. */
    public TypeChecker(Schema schema, Diagnostics diagnostics) {
        this.schema = schema;
        this.diagnostics = diagnostics;
    }

    /** Returns the interner of all expressions that this checker makes. */
    public ExpressionInterner interner() {
        return interner;
    }

    /**
     * Adds a definition, {@code (define NAME EXPRESSION)} or {@code (define (NAME PARAMETER ...) EXPRESSION)}.
     * Definitions may use each other in any order.
     */
    public void define(Form.Sequence form) {
        Definition definition = Definition.read(form, diagnostics);
        if (definition == null) {
            return;
        }
        String name = definition.name();
        if (isReserved(name)) {
            diagnostics.add(definition.place(), name + " has a meaning already");
        } else if (definitions.putIfAbsent(name, definition) != null) {
            diagnostics.add(
                    definition.place(),
                    name + " is defined already at " + definitions.get(name).place());
        }
    }

    /** Returns the names that are defined. */
    public Collection<String> definitionNames() {
        return List.copyOf(definitions.keySet());
    }

    /** Returns the errors of a definition, used or not; one with parameters is checked where it is used. */
    public Diagnostics checkDefinition(String name) {
        Diagnostics outer = diagnostics;
        Diagnostics ofDefinition = new Diagnostics("");
        Definition definition = definitions.get(name);
        diagnostics = ofDefinition;
        try {
            if (definition != null && !definition.isFunction()) {
                expander.expand(definition, List.of(), definition.place());
            }
        } finally {
            diagnostics = outer;
        }
        return ofDefinition;
    }

    /** Returns an expression that must be of that type and never missing; null, with errors reported, otherwise. */
    public Expression check(Form form, Type type) {
        int errorsBefore = diagnostics.count();
        Expression expression = convert(inferRequired(form), type);
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
        Expression expression = inferRequired(form);
        return diagnostics.count() > errorsBefore || expression.isUnknown() ? null : expression;
    }

    /** Infers an expression whose value may be missing. */
    Expression inferOptional(Form form) {
        if (depth >= MAX_DEPTH) {
            return tooDeep(form);
        }
        depth++;
        try {
            Expression expression = inferForm(form);
            if (expression.depth > MAX_DEPTH) {
                return tooDeep(form);
            }
            if (interner.size() > MAX_EXPRESSIONS || expander.count() > MAX_EXPANSIONS) {
                return error(form.place(), "too many different expressions");
            }
            return expression;
        } finally {
            depth--;
        }
    }

    /** Infers an expression whose value must not be missing. */
    Expression inferRequired(Form form) {
        Expression expression = inferOptional(form);
        if (!expression.optional || expression.isUnknown()) {
            return expression;
        }
        String example = switch (expression.type) {
            case STRING -> "\"\"";
            case BOOLEAN -> FALSE;
            default -> "0";
        };
        return error(
                expression.place,
                expression + " may be missing: say what holds then, (default " + expression + " " + example + ")");
    }

    /** Infers a form that sees further names. */
    Expression inferWithBindings(Map<String, Expression> bindings, Form body) {
        scopes.enter(bindings);
        try {
            return inferOptional(body);
        } finally {
            scopes.exit();
        }
    }

    /** Infers the body of a definition, which sees its parameters and nothing of where it is used. */
    Expression inferDefinitionBody(Map<String, Expression> parameters, Form body) {
        scopes.enterDefinition(parameters);
        try {
            return inferOptional(body);
        } finally {
            scopes.exit();
        }
    }

    /** Converts an integer literal to a decimal where one is wanted; there are no other implicit conversions. */
    Expression convert(Expression expression, Type wanted) {
        return wanted == Type.DECIMAL && expression.type == Type.INTEGER && expression.isLiteral()
                ? interner.literal((double) (Long) expression.constant, expression.place)
                : expression;
    }

    /** Reports an error and returns the placeholder of the erroneous expression. */
    Expression error(SourcePosition place, String message) {
        diagnostics.add(place, message);
        return interner.unknown(place);
    }

    private Expression tooDeep(Form form) {
        return error(form.place(), "expressions, with the defines they use, more than " + MAX_DEPTH + " deep");
    }

    private Expression inferForm(Form form) {
        if (form instanceof Form.Whole integer) {
            return interner.literal(integer.value(), integer.place());
        } else if (form instanceof Form.Fraction decimal) {
            return interner.literal(decimal.value(), decimal.place());
        } else if (form instanceof Form.Text string) {
            return inferString(string);
        } else if (form instanceof Form.Word word) {
            return inferName(word);
        }
        return inferSequence((Form.Sequence) form);
    }

    private Expression inferString(Form.Text string) {
        int length = string.value().length();
        if (length > CostModel.MAX_STRING_LENGTH) {
            return error(string.place(), "a text of " + length + " characters; at most " + CostModel.MAX_STRING_LENGTH);
        }
        return interner.literal(string.value(), string.place());
    }

    private Expression inferName(Form.Word word) {
        String name = word.name();
        if (isBooleanLiteral(name)) {
            return interner.literal(name.equals(TRUE), word.place());
        }
        Expression local = scopes.lookUp(name);
        if (local != null) {
            return local;
        }
        Attribute attribute = schema.get(name);
        if (attribute != null) {
            return interner.attribute(attribute, word.place());
        }
        Definition definition = definitions.get(name);
        if (definition != null && !definition.isFunction()) {
            return expander.expand(definition, List.of(), word.place());
        }
        if (definition != null) {
            return error(word.place(), name + " is a function; write (" + name + " ...)");
        }
        BuiltinFunction function = BuiltinFunctions.get(name);
        if (function != null) {
            return error(word.place(), name + " is a function; write " + function.syntax());
        }
        return error(word.place(), "unknown name " + name + suggestion(name, schema.names()));
    }

    private Expression inferSequence(Form.Sequence form) {
        if (form.square()) {
            return error(form.place(), "a list stands only as the second part of in or in-network");
        }
        String name = form.head();
        if (name == null) {
            String found = form.items().isEmpty() ? "()" : form.items().get(0).describe();
            return error(form.place(), "expected a function, found " + found);
        }
        Definition definition = definitions.get(name);
        if (definition != null && definition.isFunction()) {
            return inferDefinitionCall(definition, form);
        }
        BuiltinFunction function = BuiltinFunctions.get(name);
        if (function != null) {
            return function.rule().apply(new FunctionCall(function, form, this));
        }
        if (definition != null || schema.get(name) != null || scopes.lookUp(name) != null) {
            return error(form.place(), name + " is a value, not a function; write it without brackets");
        }
        return error(form.place(), "unknown function " + name + suggestion(name, BuiltinFunctions.names()));
    }

    private Expression inferDefinitionCall(Definition definition, Form.Sequence form) {
        List<Form> arguments = form.items().subList(1, form.items().size());
        int expected = definition.parameters().size();
        if (arguments.size() != expected) {
            return error(
                    form.place(),
                    "expected " + expected + " arguments of " + definition.name() + ", found " + arguments.size());
        }
        List<Expression> expressions = new ArrayList<>();
        for (Form argument : arguments) {
            expressions.add(inferOptional(argument));
        }
        return expressions.stream().anyMatch(Expression::isUnknown)
                ? interner.unknown(form.place())
                : expander.expand(definition, expressions, form.place());
    }

    private boolean isReserved(String name) {
        return BuiltinFunctions.contains(name)
                || schema.get(name) != null
                || isBooleanLiteral(name)
                || name.equals("else");
    }

    private static boolean isBooleanLiteral(String name) {
        return name.equals(TRUE) || name.equals(FALSE);
    }

    /** Suggests a name that is visible. Skipped once further errors are only counted, because the search is slow. */
    private String suggestion(String name, Collection<String> candidates) {
        if (diagnostics.count() >= Diagnostics.MOST) {
            return "";
        }
        Set<String> visible = new LinkedHashSet<>(candidates);
        visible.add(TRUE);
        visible.add(FALSE);
        visible.addAll(definitions.keySet());
        scopes.addVisibleNames(visible);
        return NameSuggestions.hint(name, visible);
    }
}

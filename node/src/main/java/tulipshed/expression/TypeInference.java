package tulipshed.expression;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.SourcePosition;

/** Infers the types of forms from the inside out and makes expressions of them, by recursive descent. */
final class TypeInference {
    /** Limits the recursion, so that it fits a stack of 512 KB many times. */
    private static final int MAX_DEPTH = 250;

    /** Limits the memory of one file. */
    private static final int MAX_EXPRESSIONS = 120_000;

    /** Limits the time that the definitions of one file take. */
    private static final int MAX_EXPANSIONS = 2_000_000;

    private static final String TRUE = "true";
    private static final String FALSE = "false";

    private final Schema schema;
    private final DefinitionTable definitions;
    private final ExpressionInterner interner = new ExpressionInterner();
    private final LexicalScopes scopes = new LexicalScopes();
    private final DefinitionExpander expander = new DefinitionExpander(this);
    private Diagnostics diagnostics;
    private int depth;

    TypeInference(Schema schema, DefinitionTable definitions, Diagnostics diagnostics) {
        this.schema = schema;
        this.definitions = definitions;
        this.diagnostics = diagnostics;
    }

    ExpressionInterner interner() {
        return interner;
    }

    /** Infers a definition without parameters, and reports its errors to {@code target}. */
    void inferDefinition(Definition definition, Diagnostics target) {
        Diagnostics outer = diagnostics;
        diagnostics = target;
        try {
            expander.expand(definition, List.of(), definition.place());
        } finally {
            diagnostics = outer;
        }
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
        if (form instanceof Form.IntegerLiteral integer) {
            return interner.literal(integer.value(), integer.place());
        } else if (form instanceof Form.DecimalLiteral decimal) {
            return interner.literal(decimal.value(), decimal.place());
        } else if (form instanceof Form.StringLiteral string) {
            return inferString(string);
        } else if (form instanceof Form.Symbol word) {
            return inferName(word);
        }
        return inferSequence((Form.Sequence) form);
    }

    private Expression inferString(Form.StringLiteral string) {
        int length = string.value().length();
        if (length > CostModel.MAX_STRING_LENGTH) {
            return error(
                    string.place(), "a string of " + length + " characters; at most " + CostModel.MAX_STRING_LENGTH);
        }
        return interner.literal(string.value(), string.place());
    }

    private Expression inferName(Form.Symbol word) {
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
            return error(form.place(), "a list is allowed only as the second argument of in or in-network");
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

    static boolean isBooleanLiteral(String name) {
        return name.equals(TRUE) || name.equals(FALSE);
    }

    /** Suggests a name that is visible. Skipped once further errors are only counted, because the search is slow. */
    private String suggestion(String name, Collection<String> candidates) {
        if (diagnostics.count() >= Diagnostics.MAX_REPORTED) {
            return "";
        }
        Set<String> visible = new LinkedHashSet<>(candidates);
        visible.add(TRUE);
        visible.add(FALSE);
        visible.addAll(definitions.names());
        scopes.addVisibleNames(visible);
        return NameSuggestions.hint(name, visible);
    }
}

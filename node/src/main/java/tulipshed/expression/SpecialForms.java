package tulipshed.expression;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.SourcePosition;

/** Conditionals, local names, and tests of optional attributes: not all of their arguments are evaluated. */
final class SpecialForms {
    static final List<BuiltinFunction> ENTRIES = List.of(
            BuiltinFunction.of("(if BOOLEAN THEN ELSE)", SpecialForms::conditional),
            BuiltinFunction.of("(cond (BOOLEAN VALUE) ... (else VALUE))", SpecialForms::cond),
            BuiltinFunction.of("(let ((NAME VALUE) ...) VALUE)", SpecialForms::let),
            BuiltinFunction.of("(default ATTRIBUTE VALUE)", SpecialForms::withDefault),
            BuiltinFunction.of("(present ATTRIBUTE)", SpecialForms::present));

    private static final int MAX_CLAUSES = 200;

    private SpecialForms() {}

    private static Expression conditional(FunctionCall call) {
        if (call.size() != 3) {
            return call.syntaxError();
        }
        Expression condition = call.typed(0, Type.BOOLEAN);
        return conditional(call, call.place(), condition, call.value(1), call.value(2));
    }

    private static Expression conditional(
            FunctionCall call,
            SourcePosition place,
            Expression condition,
            Expression thenArgument,
            Expression elseArgument) {
        Expression thenValue = call.inference().convert(thenArgument, elseArgument.type);
        Expression elseValue = call.inference().convert(elseArgument, thenArgument.type);
        if (Expression.anyUnknown(condition, thenValue, elseValue)) {
            return call.interner().unknown(place);
        }
        if (thenValue.type == Type.ADDRESS) {
            return call.error(place, "an address can only be compared or looked for in networks");
        }
        if (thenValue.type != elseValue.type) {
            return call.error(
                    place,
                    "the two values are of different types: " + thenValue.type.withArticle() + ", "
                            + elseValue.type.withArticle());
        }
        int maxLength = Math.max(thenValue.maxLength, elseValue.maxLength);
        return call.interner()
                .make(Operator.IF, thenValue.type, null, maxLength, place, condition, thenValue, elseValue);
    }

    /** Lowers the clauses to nested conditionals, from the last to the first. */
    private static Expression cond(FunctionCall call) {
        List<Form.Sequence> clauses = new ArrayList<>();
        for (Form argument : call.arguments()) {
            if (!(argument instanceof Form.Sequence clause)
                    || clause.square()
                    || clause.items().size() != 2) {
                return call.error(
                        argument.place(), "expected (BOOLEAN VALUE) or (else VALUE), found " + argument.describe());
            }
            clauses.add(clause);
        }
        if (clauses.isEmpty() || !"else".equals(clauses.get(clauses.size() - 1).head())) {
            return call.error("expected (else VALUE) as the last clause");
        }
        if (clauses.size() > MAX_CLAUSES) {
            return call.error("more than " + MAX_CLAUSES + " clauses: write them as rules");
        }
        TypeInference inference = call.inference();
        Expression value =
                inference.inferRequired(clauses.get(clauses.size() - 1).items().get(1));
        for (int i = clauses.size() - 2; i >= 0; i--) {
            Form.Sequence clause = clauses.get(i);
            Expression condition = call.typed(clause.items().get(0), Type.BOOLEAN);
            Expression thenValue = inference.inferRequired(clause.items().get(1));
            value = conditional(call, clause.place(), condition, thenValue, value);
        }
        return value;
    }

    private static Expression let(FunctionCall call) {
        if (call.size() != 2 || !(call.argument(0) instanceof Form.Sequence bindings) || bindings.square()) {
            return call.syntaxError();
        }
        Map<String, Expression> scope = new HashMap<>();
        for (Form form : bindings.items()) {
            if (!(form instanceof Form.Sequence binding) || binding.items().size() != 2 || binding.head() == null) {
                return call.error(form.place(), "expected (NAME VALUE), found " + form.describe());
            }
            String name = binding.head();
            Expression value = call.inference().inferRequired(binding.items().get(1));
            if (scope.put(name, value) != null) {
                return call.error(form.place(), name + " is given twice");
            }
        }
        return call.inference().inferWithBindings(scope, call.argument(1));
    }

    private static Expression withDefault(FunctionCall call) {
        if (call.size() != 2) {
            return call.syntaxError();
        }
        Expression value = call.inference().inferOptional(call.argument(0));
        Expression defaultValue = call.inference().convert(call.value(1), value.type);
        if (Expression.anyUnknown(value, defaultValue)) {
            return call.unknown();
        }
        if (!value.optional) {
            return call.error(value + " is never missing and needs no default");
        }
        if (value.type != defaultValue.type || value.type == Type.ADDRESS) {
            return call.error(1, "expected " + value.type.withArticle() + ", found " + defaultValue.type.withArticle());
        }
        int maxLength = Math.max(value.maxLength, defaultValue.maxLength);
        return call.interner().make(Operator.DEFAULT, value.type, null, maxLength, call.place(), value, defaultValue);
    }

    private static Expression present(FunctionCall call) {
        if (call.size() != 1) {
            return call.syntaxError();
        }
        Expression argument = call.inference().inferOptional(call.argument(0));
        if (argument.isUnknown()) {
            return argument;
        }
        return argument.operator == Operator.ATTRIBUTE && argument.optional
                ? call.interner().present((Attribute) argument.constant, call.place())
                : call.error(0, "expected an attribute that may be missing, found " + argument);
    }
}

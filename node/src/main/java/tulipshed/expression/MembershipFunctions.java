package tulipshed.expression;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tulipshed.sexpr.Form;

/** Membership in a list of literals. */
final class MembershipFunctions {
    static final List<BuiltinFunction> ENTRIES =
            List.of(BuiltinFunction.of("(in VALUE [LITERAL ...])", MembershipFunctions::in));

    private static final int MAX_LITERALS = 20_000;

    private MembershipFunctions() {}

    private static Expression in(FunctionCall call) {
        if (call.size() != 2 || !(call.argument(1) instanceof Form.Sequence list) || !list.square()) {
            return call.syntaxError();
        }
        Expression value = call.value(0);
        if (list.items().size() > MAX_LITERALS) {
            return call.error(list.place(), "more than " + MAX_LITERALS + " literals");
        }
        Set<Object> literals = literals(call, list, value);
        if (literals == null) {
            return call.unknown();
        }
        if (value.type == Type.ADDRESS) {
            return call.error(0, "an address is looked for with in-network");
        }
        if (literals.isEmpty()) {
            return call.interner().literal(false, call.place());
        }
        LiteralSet set = new LiteralSet(value.type, List.copyOf(literals));
        return call.makeWithConstant(Operator.IN, Type.BOOLEAN, set, value);
    }

    /** Checks all literals of the list; null, with errors reported, where one is wrong or the value is unknown. */
    private static Set<Object> literals(FunctionCall call, Form.Sequence list, Expression value) {
        Set<Object> literals = new LinkedHashSet<>();
        boolean valid = !value.isUnknown();
        for (Form item : list.items()) {
            Expression literal = call.inference().convert(call.inference().inferRequired(item), value.type);
            if (literal.isUnknown() || value.isUnknown()) {
                valid = false;
            } else if (!literal.isLiteral() || literal.type != value.type) {
                call.error(
                        item.place(), "expected " + value.type.withArticle() + " as it is, found " + item.describe());
                valid = false;
            } else {
                literals.add(literal.constant);
            }
        }
        return valid ? literals : null;
    }
}

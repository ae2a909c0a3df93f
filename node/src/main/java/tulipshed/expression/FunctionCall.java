package tulipshed.expression;

import java.util.List;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.SourcePosition;

/** A call of a built-in function that is being checked. */
final class FunctionCall {
    private final BuiltinFunction function;
    private final Form.Sequence form;
    private final List<Form> arguments;
    private final TypeInference inference;

    FunctionCall(BuiltinFunction function, Form.Sequence form, TypeInference inference) {
        this.function = function;
        this.form = form;
        this.arguments = form.items().subList(1, form.items().size());
        this.inference = inference;
    }

    String name() {
        return function.name();
    }

    SourcePosition place() {
        return form.place();
    }

    /** Returns the number of arguments. */
    int size() {
        return arguments.size();
    }

    Form argument(int index) {
        return arguments.get(index);
    }

    List<Form> arguments() {
        return arguments;
    }

    TypeInference inference() {
        return inference;
    }

    ExpressionInterner interner() {
        return inference.interner();
    }

    /** Checks an argument that must not be missing. */
    Expression value(int index) {
        return inference.inferRequired(arguments.get(index));
    }

    /** Checks an argument that must be of one type. */
    Expression typed(int index, Type type) {
        return typed(arguments.get(index), type);
    }

    /** Checks all arguments, which must be of one type. */
    Expression[] allTyped(Type type) {
        return arguments.stream().map(argument -> typed(argument, type)).toArray(Expression[]::new);
    }

    /** Checks a form that must be of one type. */
    Expression typed(Form argument, Type type) {
        Expression expression = inference.convert(inference.inferRequired(argument), type);
        if (expression.isUnknown() || expression.type == type) {
            return expression;
        }
        return error(
                argument.place(),
                "expected " + type.withArticle() + ", found " + expression.type.withArticle() + ": " + expression);
    }

    /** Reports a wrong number or kind of arguments, and how a call is written. */
    Expression syntaxError() {
        return error("expected " + function.syntax() + ", found " + size() + " arguments");
    }

    /** Reports an error of the call. */
    Expression error(String message) {
        return error(place(), message);
    }

    /** Reports an error of one argument. */
    Expression error(int index, String message) {
        return error(arguments.get(index).place(), message);
    }

    Expression error(SourcePosition place, String message) {
        return inference.error(place, message);
    }

    /** Returns the placeholder of a call in whose arguments an error has been reported. */
    Expression unknown() {
        return interner().unknown(place());
    }

    /** Makes the expression of the call. */
    Expression make(Operator operator, Type type, Expression... operands) {
        return interner().make(operator, type, place(), operands);
    }

    /** Makes the expression of the call, which is a string of {@code maxLength} characters at most. */
    Expression makeString(Operator operator, int maxLength, Expression... operands) {
        return interner().make(operator, Type.STRING, null, maxLength, place(), operands);
    }

    /** Makes the expression of the call, whose operator needs a constant besides its operand. */
    Expression makeWithConstant(Operator operator, Type type, Object constant, Expression operand) {
        return interner().make(operator, type, constant, 0, place(), operand);
    }
}

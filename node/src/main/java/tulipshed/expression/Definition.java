package tulipshed.expression;

import java.util.ArrayList;
import java.util.List;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.SourcePosition;

/**
 * A name for an expression, {@code (define NAME EXPRESSION)}, or for a function of expressions,
 * {@code (define (NAME PARAMETER ...) EXPRESSION)}.
 *
 * @param parameters empty for a name of an expression
 * @param isFunction whether it is called with arguments, of which there may be none
 * @param place the position of the name with its parameters
 */
record Definition(String name, List<String> parameters, boolean isFunction, Form body, SourcePosition place) {
    /** Reads a definition; null, with an error reported, where it is malformed. */
    static Definition read(Form.Sequence form, Diagnostics diagnostics) {
        if (form.items().size() != 3) {
            diagnostics.add(
                    form.place(), "expected (define NAME EXPRESSION) or (define (NAME PARAMETER ...) EXPRESSION)");
            return null;
        }
        Form signature = form.items().get(1);
        List<String> names = names(signature, diagnostics);
        if (names == null) {
            return null;
        }
        if (names.isEmpty()) {
            diagnostics.add(signature.place(), "expected a name, found ()");
            return null;
        }
        return new Definition(
                names.get(0),
                names.subList(1, names.size()),
                signature instanceof Form.Sequence,
                form.items().get(2),
                signature.place());
    }

    /** Returns the name and the parameters; null, with an error reported, where one is no name or stands twice. */
    private static List<String> names(Form signature, Diagnostics diagnostics) {
        boolean isList = signature instanceof Form.Sequence sequence && !sequence.square();
        List<Form> items = isList ? ((Form.Sequence) signature).items() : List.of(signature);
        List<String> names = new ArrayList<>();
        for (Form item : items) {
            if (!(item instanceof Form.Symbol word) || names.contains(word.name())) {
                diagnostics.add(item.place(), "expected a name of its own, found " + item.describe());
                return null;
            }
            names.add(word.name());
        }
        return names;
    }
}

package tulipshed.operators;

import java.util.HexFormat;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.SourcePosition;

/** Reads values from single forms and reports forms of the wrong kind. */
final class FormValues {
    private FormValues() {}

    /** Returns a name, which is a symbol or a non-empty string; any other form is reported and yields null. */
    static String name(Form form, Diagnostics diagnostics) {
        if (form instanceof Form.Symbol symbol) {
            return symbol.name();
        } else if (form instanceof Form.StringLiteral string && !string.value().isEmpty()) {
            return string.value();
        }
        diagnostics.add(form.place(), "expected a name, found " + form.describe());
        return null;
    }

    /** Returns a share from 0 to 1; any other form is reported and yields NaN. */
    static double share(Form form, Diagnostics diagnostics) {
        double value = number(form);
        if (value >= 0 && value <= 1) {
            return value;
        }
        diagnostics.add(form.place(), "expected a share from 0.0 to 1.0, found " + form.describe());
        return Double.NaN;
    }

    /** Returns a number, or NaN for other forms. */
    static double number(Form form) {
        if (form instanceof Form.DecimalLiteral decimal) {
            return decimal.value();
        }
        return form instanceof Form.IntegerLiteral integer ? integer.value() : Double.NaN;
    }

    /** Returns the bytes of a hexadecimal string; any other string is reported and yields null. */
    static byte[] bytes(String hexadecimal, SourcePosition place, Diagnostics diagnostics) {
        try {
            return HexFormat.of().parseHex(hexadecimal);
        } catch (IllegalArgumentException e) {
            diagnostics.add(place, "expected hexadecimal digits, two per byte");
            return null;
        }
    }
}

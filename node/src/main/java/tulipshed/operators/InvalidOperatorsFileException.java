package tulipshed.operators;

import tulipshed.config.MalformedInputException;
import tulipshed.sexpr.Diagnostics;

/** An operators' file, or a table of cases, that has errors. */
public final class InvalidOperatorsFileException extends MalformedInputException {
    private static final long serialVersionUID = 1L;
    private final transient Diagnostics diagnostics;

    InvalidOperatorsFileException(Diagnostics diagnostics) {
        // The message of a failed start is a single line.
        super(diagnostics.toString().replace("\n", "; "));
        this.diagnostics = diagnostics;
    }

    /** Returns the errors, a line each. */
    public String lines() {
        return diagnostics.toString();
    }
}

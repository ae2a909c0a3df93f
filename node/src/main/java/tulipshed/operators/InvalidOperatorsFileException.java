package tulipshed.operators;

import tulipshed.config.MalformedInputException;
import tulipshed.sexpr.Diagnostics;

/** Thrown if an operators' file or a table of cases has errors. */
public final class InvalidOperatorsFileException extends MalformedInputException {
    private static final long serialVersionUID = 1L;
    private final transient Diagnostics diagnostics;

    InvalidOperatorsFileException(Diagnostics diagnostics) {
        // A failed start prints the message on a single line, so the errors are joined by "; ".
        super(diagnostics.toString().replace("\n", "; "));
        this.diagnostics = diagnostics;
    }

    /** Returns the errors, one per line. */
    public String lines() {
        return diagnostics.toString();
    }
}

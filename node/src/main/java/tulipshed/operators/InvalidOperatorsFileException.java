package tulipshed.operators;

import tulipshed.config.MalformedInputException;
import tulipshed.sexpr.Diagnostics;

/** An operators' file that is not taken; it carries all that is wrong with it. */
public final class InvalidOperatorsFileException extends MalformedInputException {
    private static final long serialVersionUID = 1L;
    private final transient Diagnostics problems;

    InvalidOperatorsFileException(Diagnostics problems) {
        // At a start all of it stands on one line.
        super(problems.toString().replace("\n", "; "));
        this.problems = problems;
    }

    /** All that is wrong, a line each. */
    public String lines() {
        return problems.toString();
    }
}

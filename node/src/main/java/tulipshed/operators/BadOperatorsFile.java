package tulipshed.operators;

import tulipshed.config.MalformedInputException;
import tulipshed.sexpr.Problems;

/** An operators' file that is not taken; it carries all that is wrong with it. */
public final class BadOperatorsFile extends MalformedInputException {
    private static final long serialVersionUID = 1L;
    private final transient Problems problems;

    BadOperatorsFile(Problems problems) {
        // At a start all of it stands on one line.
        super(problems.toString().replace("\n", "; "));
        this.problems = problems;
    }

    /** All that is wrong, a line each. */
    public String lines() {
        return problems.toString();
    }
}

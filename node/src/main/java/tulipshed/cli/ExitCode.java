package tulipshed.cli;

/** The exit codes of the program; part of its interface to scripts. */
final class ExitCode {
    /** The command did its work. */
    static final int SUCCESS = 0;

    /** The command did its work and found a failure: a failed case, a demo session with an unexpected reply. */
    static final int FAILURE = 1;

    /** The command line or a file that it names is malformed. */
    static final int MALFORMED_INPUT = 2;

    private ExitCode() {}
}

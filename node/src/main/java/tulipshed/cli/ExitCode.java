package tulipshed.cli;

/** The exit codes of the program; scripts depend on them. */
final class ExitCode {
    /** The command succeeded. */
    static final int SUCCESS = 0;

    /** The command ran and found a failure, such as a failed case, or it could not run for a system error. */
    static final int FAILURE = 1;

    /**
     * The command line, the configuration or an input file is invalid or unreadable, or an address cannot be bound.
     */
    static final int MALFORMED_INPUT = 2;

    private ExitCode() {}
}

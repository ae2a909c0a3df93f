package tulipshed.cli;

/** A sub-command. Its options and arguments are fields with args4j annotations, set before {@link #run}. */
interface Command {
    /** Returned by {@link #run} if the program keeps running on other threads. */
    int KEEPS_RUNNING = -1;

    /** Returns what the command does, in one sentence for the usage text. */
    String description();

    /**
     * Runs the command.
     *
     * @return an exit code of {@link ExitCode}, or {@link #KEEPS_RUNNING}
     * @throws tulipshed.config.MalformedInputException if a file or a setting is invalid, or an address cannot be
     *     bound
     */
    int run();
}

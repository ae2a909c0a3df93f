package tulipshed.cli;

/** One sub-command. */
interface Command {
    /** The program keeps running by itself. */
    int KEEPS_RUNNING = -1;

    /** What it does, in a sentence. */
    String description();

    /** Does its work; the exit code, or {@link #KEEPS_RUNNING}. */
    int run();
}

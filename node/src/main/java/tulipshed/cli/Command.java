package tulipshed.cli;

/** One sub-command. */
interface Command {
    /** The program keeps running by itself. */
    int STAYS = -1;

    /** What it does, in a sentence. */
    String about();

    /** Does its work; the exit code, or {@link #STAYS}. */
    int run();
}

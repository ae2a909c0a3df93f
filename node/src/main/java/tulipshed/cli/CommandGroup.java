package tulipshed.cli;

import java.util.Map;
import java.util.function.Supplier;

/** A sub-command that only contains further sub-commands and cannot be run itself. */
interface CommandGroup extends Command {
    /** Returns the sub-commands by name, in the order of the usage text. */
    Map<String, Supplier<Command>> commands();

    @Override
    default int run() {
        throw new IllegalStateException("a command group cannot be run, only its sub-commands");
    }
}

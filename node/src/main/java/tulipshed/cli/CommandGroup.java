package tulipshed.cli;

import java.util.Map;
import java.util.function.Supplier;

/** A sub-command that has sub-commands of its own and cannot be run itself. */
interface CommandGroup extends Command {
    /** Returns its sub-commands by name, in the order of the usage text. */
    Map<String, Supplier<Command>> commands();

    @Override
    default int run() {
        throw new IllegalStateException("a command group cannot be run, only one of its commands");
    }
}

package tulipshed.cli;

import java.util.Map;
import java.util.function.Supplier;

/** A sub-command that has sub-commands of its own. */
interface CommandGroup extends Command {
    /** Its sub-commands by name. */
    Map<String, Supplier<Command>> commands();

    @Override
    default int run() {
        throw new IllegalStateException("one of its commands is run");
    }
}

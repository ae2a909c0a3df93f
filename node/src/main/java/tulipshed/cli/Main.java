package tulipshed.cli;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/** The program's entry point. */
public final class Main {
    private static final String PROGRAM = "tulipshed";

    private static final Map<String, Supplier<Command>> COMMANDS = new LinkedHashMap<>();

    static {
        // An enum instead of method references, as linking each reference would slow down the start of every command.
        for (TopLevelCommand command : TopLevelCommand.values()) {
            COMMANDS.put(command.name().toLowerCase(Locale.ROOT), command);
        }
    }

    /** The sub-commands; the lower-case name of a constant is its name on the command line. */
    private enum TopLevelCommand implements Supplier<Command> {
        SERVE,
        ADAPTER,
        CHECK,
        EXPRESSION,
        DEMO,
        VERSION;

        @Override
        public Command get() {
            return switch (this) {
                case SERVE -> new ServeCommand();
                case ADAPTER -> new AdapterCommand();
                case CHECK -> new CheckCommand();
                case EXPRESSION -> new ExpressionCommand();
                case DEMO -> new DemoCommand();
                case VERSION -> new VersionCommand();
            };
        }
    }

    private Main() {}

    /** Runs the sub-command that the first argument names, and exits with its code unless it keeps running. */
    public static void main(String[] args) {
        int code = run(args);
        if (code != Command.KEEPS_RUNNING) {
            System.exit(code);
        }
    }

    /** Runs a sub-command and returns its exit code, or {@link Command#KEEPS_RUNNING}. */
    static int run(String... args) {
        return CommandDispatcher.dispatch(PROGRAM, COMMANDS, args);
    }
}

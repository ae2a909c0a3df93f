package tulipshed.cli;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import tulipshed.config.MalformedInputException;
import tulipshed.operators.BadOperatorsFile;

/** The command line. */
public final class Main {
    private static final Map<String, Supplier<Command>> COMMANDS = new LinkedHashMap<>();

    static {
        // Named classes, not method references: each reference would lengthen the start of every command.
        for (Entry e : Entry.values()) {
            COMMANDS.put(e.name().toLowerCase(java.util.Locale.ROOT), e);
        }
    }

    private enum Entry implements Supplier<Command> {
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

    /** Runs the sub-command named; the exit code is 0 where it did its work, 2 where it was told nonsense. */
    public static void main(String[] args) {
        int code = run(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    /** The exit code, or below 0 where the program goes on by itself. */
    static int run(String... args) {
        return run("tulipshed", COMMANDS, args);
    }

    /** Runs one of some sub-commands; {@code program} is what has been said before it. */
    static int run(String program, Map<String, Supplier<Command>> commands, String... args) {
        if (args.length > 0 && args[0].equals("--help")) {
            System.out.println("usage: " + program + " COMMAND ...; COMMAND --help tells more");
            commands.forEach((name, c) ->
                    System.out.println(String.format("  %-11s%s", name, c.get().description())));
            return 0;
        }
        if (args.length == 0 || !commands.containsKey(args[0])) {
            System.err.println(program + ": " + (args.length == 0 ? "no command" : "no command " + oneLine(args[0]))
                    + " (commands: " + String.join(", ", commands.keySet()) + "; --help tells more)");
            return 2;
        }
        Command command = commands.get(args[0]).get();
        String[] rest = Arrays.copyOfRange(args, 1, args.length);
        if (command instanceof CommandGroup group) {
            return run(program + " " + args[0], group.commands(), rest);
        }
        CmdLineParser parser = new CmdLineParser(command);
        if (Arrays.asList(rest).contains("--help")) {
            System.out.println(command.description());
            System.out.print("usage: " + program + " " + args[0]);
            parser.printSingleLineUsage(System.out);
            System.out.println();
            parser.printUsage(System.out);
            return 0;
        }
        try {
            parser.parseArgument(rest);
            return command.run();
        } catch (CmdLineException e) {
            System.err.println(program + " " + args[0] + ": " + oneLine(e.getMessage()) + " (--help tells more)");
            return 2;
        } catch (BadOperatorsFile e) {
            // A node that starts says all on one line; who only asks gets a line for each.
            System.err.println(
                    command instanceof ServeCommand
                            ? program + ": bad configuration: " + oneLine(e.getMessage())
                            : e.lines());
            return 2;
        } catch (MalformedInputException e) {
            System.err.println(program + ": bad configuration: " + oneLine(e.getMessage()));
            return 2;
        }
    }

    private static String oneLine(String text) {
        return String.valueOf(text).replaceAll("\\s+", " ");
    }
}

package tulipshed.cli;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import tulipshed.config.MalformedInputException;
import tulipshed.operators.InvalidOperatorsFileException;

/** Finds a sub-command by name, parses its arguments, and maps its exceptions to messages and exit codes. */
final class CommandDispatcher {
    private static final String HELP = "--help";

    private CommandDispatcher() {}

    /**
     * Runs one of the sub-commands, or prints their usage.
     *
     * @param program the command line before {@code args}
     * @param commands the sub-commands by name
     * @param args a sub-command's name and its arguments
     * @return an exit code, or {@link Command#KEEPS_RUNNING}
     */
    static int dispatch(String program, Map<String, Supplier<Command>> commands, String... args) {
        if (args.length > 0 && args[0].equals(HELP)) {
            printCommands(program, commands);
            return ExitCode.SUCCESS;
        }
        if (args.length == 0 || !commands.containsKey(args[0])) {
            System.err.println(
                    program + ": " + (args.length == 0 ? "missing command" : "unknown command " + oneLine(args[0]))
                            + " (commands: " + String.join(", ", commands.keySet()) + "; see --help)");
            return ExitCode.MALFORMED_INPUT;
        }
        Command command = commands.get(args[0]).get();
        String[] remaining = Arrays.copyOfRange(args, 1, args.length);
        if (command instanceof CommandGroup group) {
            return dispatch(program + " " + args[0], group.commands(), remaining);
        }
        return parseAndRun(program, args[0], command, remaining);
    }

    private static void printCommands(String program, Map<String, Supplier<Command>> commands) {
        System.out.println("usage: " + program + " COMMAND ...; see COMMAND --help");
        commands.forEach((name, command) -> System.out.println(
                String.format("  %-11s%s", name, command.get().description())));
    }

    private static int parseAndRun(String program, String name, Command command, String... args) {
        CmdLineParser parser = new CmdLineParser(command);
        if (Arrays.asList(args).contains(HELP)) {
            printUsage(program + " " + name, command, parser);
            return ExitCode.SUCCESS;
        }
        try {
            parser.parseArgument(args);
            return command.run();
        } catch (CmdLineException e) {
            System.err.println(program + " " + name + ": " + oneLine(e.getMessage()) + " (see --help)");
        } catch (InvalidOperatorsFileException e) {
            printProblems(program, command, e);
        } catch (MalformedInputException e) {
            System.err.println(badConfiguration(program, e));
        }
        return ExitCode.MALFORMED_INPUT;
    }

    private static void printUsage(String commandLine, Command command, CmdLineParser parser) {
        System.out.println(command.description());
        System.out.print("usage: " + commandLine);
        parser.printSingleLineUsage(System.out);
        System.out.println();
        parser.printUsage(System.out);
    }

    /**
     * {@code serve} reports all problems on one line, for the node's log; other commands print one line per problem.
     */
    private static void printProblems(String program, Command command, InvalidOperatorsFileException e) {
        System.err.println(command instanceof ServeCommand ? badConfiguration(program, e) : e.lines());
    }

    private static String badConfiguration(String program, MalformedInputException e) {
        return program + ": bad configuration: " + oneLine(e.getMessage());
    }

    private static String oneLine(String text) {
        return String.valueOf(text).replaceAll("\\s+", " ");
    }
}

package tulipshed.emulator.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of the emulator. */
@Command(
        name = "emulator",
        mixinStandardHelpOptions = true,
        version = "tulipshed emulator",
        description = "Emulates what the node balances, and compares designs.",
        subcommands = {
            RunCommand.class,
            SweepCommand.class,
            CompareCommand.class,
            ReportCommand.class,
            ReplayCommand.class,
            LoadTestCommand.class,
            FaultInjectionCommand.class,
            QueryCommand.class,
            AcceptanceCommand.class
        })
public final class EmulatorMain {
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(commandLine().execute(args));
    }

    /** What a user gets wrong is told in a line; anything else keeps its trace. */
    public static CommandLine commandLine() {
        CommandLine c = new CommandLine(new EmulatorMain());
        c.setExecutionExceptionHandler((e, commandLine, parsed) -> {
            if (e instanceof IllegalArgumentException) {
                commandLine.getErr().println("emulator: " + e.getMessage());
                return 2;
            }
            throw e;
        });
        return c;
    }
}

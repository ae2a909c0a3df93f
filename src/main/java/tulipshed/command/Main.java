package tulipshed.command;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import tulipshed.config.MalformedInput;

/** The command line. */
public final class Main {
    @Argument(required = true, metaVar = "COMMAND", usage = "serve, adapter, check or version",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = ServeCommand.class),
        @SubCommand(name = "adapter", impl = AdapterCommand.class),
        @SubCommand(name = "check", impl = CheckCommand.class),
        @SubCommand(name = "version", impl = VersionCommand.class),
    })
    private Command command;

    private Main() { }

    /** Runs the sub-command named; the exit code is 0 where it did its work, 2 where it was told nonsense. */
    public static void main(String[] args) {
        int code = run(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    /** The exit code, or below 0 where the program goes on by itself. */
    static int run(String... args) {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
            return main.command.run();
        } catch (CmdLineException e) {
            System.err.println("tulipshed: " + String.valueOf(e.getMessage()).replaceAll("\\s+", " ")
                    + " (commands: serve, adapter, check, version)");
            return 2;
        } catch (MalformedInput e) {
            System.err.println("tulipshed: bad configuration: " + e.getMessage().replaceAll("\\s+", " "));
            return 2;
        }
    }
}

package tulipshed.cli;

import java.io.File;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tulipshed.config.NameIndex;
import tulipshed.config.NodeConfig;
import tulipshed.operators.OperatorsFile;

/** {@code expression}: checks, explains and tests the operators' file, and evaluates expressions, without a node. */
public final class ExpressionCommand implements CommandGroup {
    @Override
    public String description() {
        return "checks, explains and tests the operators' file; tries an expression";
    }

    @Override
    public Map<String, Supplier<Command>> commands() {
        Map<String, Supplier<Command>> commands = new LinkedHashMap<>();
        commands.put("check", Check::new);
        commands.put("explain", Explain::new);
        commands.put("eval", ExpressionEvalCommand::new);
        commands.put("test", ExpressionTestCommand::new);
        return commands;
    }

    /**
     * Loads the classes and tenants that an operators' file may name.
     *
     * @param config the node's configuration, or null for the one that PROXY_CONFIG names
     */
    static NameIndex loadNames(File config) {
        return NodeConfig.load(config == null ? System.getenv() : Map.of("PROXY_CONFIG", config.toString()))
                .nameIndex();
    }

    /** {@code expression check}: reports all problems of an operators' file. */
    public static final class Check implements Command {
        @Argument(required = true, metaVar = "FILE", usage = "the operators' file")
        private File file;

        @Option(
                name = "--config",
                metaVar = "CONFIG",
                usage = "the node's configuration, for the names of classes and "
                        + "tenants; otherwise the one that PROXY_CONFIG names")
        private File config;

        @Override
        public String description() {
            return "says all that is wrong with an operators' file, with its places; exit code 2 where anything is";
        }

        @Override
        public int run() {
            OperatorsFile.load(file.toPath(), loadNames(config));
            System.out.println(file + " is sound");
            return ExitCode.SUCCESS;
        }
    }

    /** {@code expression explain}: prints how an operators' file was understood. */
    public static final class Explain implements Command {
        @Argument(required = true, metaVar = "FILE", usage = "the operators' file")
        private File file;

        @Option(
                name = "--config",
                metaVar = "CONFIG",
                usage = "the node's configuration; otherwise PROXY_CONFIG names it")
        private File config;

        @Override
        public String description() {
            return "prints what was understood of an operators' file: types, the most that each rule costs, and how rules "
                    + "are found";
        }

        @Override
        public int run() {
            OperatorsFile operators = OperatorsFile.load(file.toPath(), loadNames(config));
            operators.explanation().lines().forEach(System.out::println);
            return ExitCode.SUCCESS;
        }
    }
}

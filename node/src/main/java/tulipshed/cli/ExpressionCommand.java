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
        return "checks, explains and tests the operators' file; evaluates an expression";
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
     * Loads the names of the classes and tenants to which an operators' file may refer.
     *
     * @param config the node's configuration file, or null for the file that PROXY_CONFIG names
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
                        + "tenants; default: the file that PROXY_CONFIG names")
        private File config;

        @Override
        public String description() {
            return "reports every error in an operators' file with its position; exit code 2 if there is any";
        }

        @Override
        public int run() {
            OperatorsFile.load(file.toPath(), loadNames(config));
            System.out.println(file + " is valid");
            return ExitCode.SUCCESS;
        }
    }

    /** {@code expression explain}: prints the interpretation of an operators' file. */
    public static final class Explain implements Command {
        @Argument(required = true, metaVar = "FILE", usage = "the operators' file")
        private File file;

        @Option(
                name = "--config",
                metaVar = "CONFIG",
                usage = "the node's configuration; default: the file that PROXY_CONFIG names")
        private File config;

        @Override
        public String description() {
            return "prints the interpretation of an operators' file: types, the maximum cost of each rule, and how rules are "
                    + "looked up";
        }

        @Override
        public int run() {
            OperatorsFile operators = OperatorsFile.load(file.toPath(), loadNames(config));
            operators.explanation().lines().forEach(System.out::println);
            return ExitCode.SUCCESS;
        }
    }
}

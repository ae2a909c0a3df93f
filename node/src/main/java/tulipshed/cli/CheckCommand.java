package tulipshed.cli;

import java.io.File;
import java.util.List;
import org.kohsuke.args4j.Option;
import tulipshed.config.NodeConfig;
import tulipshed.operators.OperatorsFile;

/** {@code check}: validates the configuration and the operators' file that {@code serve} would read. */
public final class CheckCommand implements Command {
    @Option(name = "--operators", metaVar = "FILE", usage = "the operators' file to check with the configuration")
    private File operators;

    @Override
    public String description() {
        return "checks the configuration and the operators' file that serve would read; prints errors or a summary";
    }

    @Override
    public int run() {
        NodeConfig config = NodeConfig.load(System.getenv());
        OperatorsFile operatorsFile =
                operators == null ? null : OperatorsFile.load(operators.toPath(), config.nameIndex());
        printConfiguration(config);
        if (operatorsFile != null) {
            printOperatorsFile(operatorsFile);
        }
        return ExitCode.SUCCESS;
    }

    private static void printConfiguration(NodeConfig config) {
        System.out.println("configuration of " + config.name() + " is valid: "
                + config.settings().classes().size()
                + " classes, " + config.settings().tenants().size() + " tenants, "
                + config.cachedEndpointEntries().size() + " cached endpoints");
    }

    private void printOperatorsFile(OperatorsFile operatorsFile) {
        List<String> explanation = operatorsFile.explanation().lines();
        System.out.println(operators + " is valid" + (explanation.isEmpty() ? "; it has no effect" : ""));
        explanation.forEach(System.out::println);
    }
}

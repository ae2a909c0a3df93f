package tulipshed.cli;

import java.io.File;
import org.kohsuke.args4j.Option;
import tulipshed.config.NodeConfig;
import tulipshed.operators.OperatorsFile;

/** Reads the configuration that serve would read, and says whether it is sound. */
public final class CheckCommand implements Command {
    @Option(name = "--operators", metaVar = "FILE", usage = "the operators' file, as serve would read it")
    private File operators;

    @Override
    public String description() {
        return "reads the configuration that serve would read, says what is wrong with it or what it understood";
    }

    @Override
    public int run() {
        NodeConfig config = NodeConfig.load(System.getenv());
        OperatorsFile file = operators == null ? null : OperatorsFile.load(operators.toPath(), config.nameIndex());
        System.out.println("configuration of " + config.name() + " is sound: "
                + config.settings().classes().size()
                + " classes, " + config.settings().tenants().size() + " tenants, "
                + config.knownServers().size() + " pool members known");
        if (file != null) {
            System.out.println(
                    operators + " is sound" + (file.explanation().lines().isEmpty() ? "; it changes nothing" : ""));
            file.explanation().lines().forEach(System.out::println);
        }
        return 0;
    }
}

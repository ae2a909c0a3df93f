package tulipshed.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NameIndex;
import tulipshed.operators.CaseTable;
import tulipshed.operators.OperatorsFile;

/** {@code expression test}: checks an operators' file against a table of requests and their expected results. */
public final class ExpressionTestCommand implements Command {
    @Argument(required = true, metaVar = "FILE", usage = "the operators' file")
    private File file;

    @Argument(
            index = 1,
            required = true,
            metaVar = "CASES",
            usage = "requests, and the expected class, group, rule, route " + "and pool of each")
    private File cases;

    @Option(
            name = "--config",
            metaVar = "CONFIG",
            usage = "the node's configuration; default: the file that PROXY_CONFIG names")
    private File config;

    @Override
    public String description() {
        return "checks an operators' file against a table of cases; exit code 1 if a case fails, 2 if a file is malformed";
    }

    @Override
    public int run() {
        NameIndex names = ExpressionCommand.loadNames(config);
        OperatorsFile operators = OperatorsFile.load(file.toPath(), names);
        CaseTable table = readCases();
        List<String> failures = table.run(operators, names);
        failures.forEach(System.out::println);
        System.out.println(table.size() - table.failed() + " cases passed, " + table.failed() + " failed");
        return failures.isEmpty() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    private CaseTable readCases() {
        try {
            return CaseTable.read(cases.toString(), Files.readAllBytes(cases.toPath()));
        } catch (IOException e) {
            throw new MalformedInputException(
                    "cannot read " + cases + ": " + e.getClass().getSimpleName());
        }
    }
}

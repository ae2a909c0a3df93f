package tulipshed.emulator.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tulipshed.emulator.results.Results;

/** Asks results in SQL. */
@Command(
        name = "query",
        mixinStandardHelpOptions = true,
        description = "Asks a folder of results in SQL; the tables are called runs, seconds and histograms.")
final class QueryCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Parameters(index = "0", paramLabel = "RESULTS")
    Path folder;

    @Parameters(index = "1", paramLabel = "SQL")
    String sql;

    @Override
    public Integer call() {
        try (Results results = new Results(folder)) {
            List<Map<String, Object>> rows = results.query("WITH runs AS (SELECT * FROM " + results.from("run")
                    + "), seconds AS (SELECT * FROM " + results.from("seconds") + "), histograms AS (SELECT * FROM "
                    + results.from("histogram") + ") " + sql);
            PrintWriter w = spec.commandLine().getOut();
            if (!rows.isEmpty()) {
                w.println(String.join("\t", rows.get(0).keySet()));
            }
            for (Map<String, Object> row : rows) {
                w.println(String.join(
                        "\t", row.values().stream().map(String::valueOf).toList()));
            }
            w.flush();
        }
        return 0;
    }
}

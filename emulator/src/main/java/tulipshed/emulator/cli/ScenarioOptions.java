package tulipshed.emulator.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.ScenarioReader;

/** What commands that run scenarios have in common. */
final class ScenarioOptions {
    @Parameters(paramLabel = "SCENARIO", description = "A scenario file.")
    Path file;

    @Option(names = "--seed", defaultValue = "1", description = "All chance comes from it (default ${DEFAULT-VALUE}).")
    long seed;

    @Option(
            names = "--set",
            paramLabel = "PATH=VALUE",
            description = "Replaces a figure of the scenario, e.g. nodes.count=50.")
    Map<String, String> set = new LinkedHashMap<>();

    @Option(names = "--policy", description = "Who decides: module, core or one of the baselines.")
    String policy;

    /** The scenario with these figures in place of its own. */
    Scenario scenario(Overrides overrides) {
        return ScenarioReader.load(file, overrides);
    }

    Overrides overrides() {
        Map<String, String> all = new LinkedHashMap<>(set);
        if (policy != null) {
            all.put("policy", policy);
        }
        return new Overrides(all);
    }
}

package tulipshed.lab.tool;

import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.Option;
import tulipshed.lab.scenario.Overrides;

/** What commands that run scenarios have in common. */
final class ScenarioOptions {
    @Option(names = "--set", paramLabel = "PATH=VALUE", description = "Replaces a figure of the scenario, e.g. nodes.count=50.")
    Map<String, String> set = new LinkedHashMap<>();

    @Option(names = "--policy", description = "Who decides: module, core or one of the baselines.")
    String policy;

    Overrides overrides() {
        Map<String, String> all = new LinkedHashMap<>(set);
        if (policy != null) {
            all.put("policy", policy);
        }
        return new Overrides(all);
    }
}

package tulipshed.emulator;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.model.World;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.ScenarioReader;

/** Short ways to worlds. */
final class Worlds {
    private Worlds() {}

    static Overrides overrides(String... pairs) {
        Map<String, String> all = new LinkedHashMap<>();
        for (String p : pairs) {
            all.put(p.substring(0, p.indexOf('=')), p.substring(p.indexOf('=') + 1));
        }
        return new Overrides(all);
    }

    static Scenario file(String name, String... pairs) {
        return ScenarioReader.load(Path.of("scenarios", name + ".sexp"), overrides(pairs));
    }

    static Scenario text(String text, String... pairs) {
        return ScenarioReader.read("text", text.getBytes(StandardCharsets.UTF_8), overrides(pairs));
    }

    static RunResult run(Scenario s, long seed) {
        return new World(s, seed, 1).run();
    }
}

package tulipshed.emulator.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.model.World;
import tulipshed.emulator.results.Results;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;

/** Runs a scenario once. */
@Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a scenario once and tells what came of it.")
final class RunCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Mixin
    ScenarioOptions options;

    @Option(names = "--threads", defaultValue = "1", description = "Threads; the result is the same for any number.")
    int threads;

    @Option(names = "--out", description = "A folder of results to add this run to.")
    Path out;

    @Override
    public Integer call() {
        Overrides overrides = options.overrides();
        Scenario scenario = options.scenario(overrides);
        RunResult o = new World(scenario, options.seed, threads).run();
        PrintWriter w = spec.commandLine().getOut();
        w.printf(
                Locale.ROOT,
                "%s, seed %d, %s: %.0f s in %.2f s (%.0f times as fast), %d messages, %.0f a second%n",
                scenario.name(),
                options.seed,
                scenario.policy(),
                scenario.durationMs() / 1000,
                o.tookS(),
                scenario.durationMs() / 1000 / o.tookS(),
                o.messages(),
                o.messages() / o.tookS());
        o.figures().forEach((name, value) -> w.printf(Locale.ROOT, "  %-24s %s%n", name, plain(value)));
        w.print(o.rules());
        w.flush();
        if (out != null) {
            try (Results results = new Results(out)) {
                results.write(RunKeys.key(scenario, overrides, options.seed), overrides.values(), o);
            }
        }
        return 0;
    }

    static String plain(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : String.format(Locale.ROOT, "%.4f", value);
    }
}

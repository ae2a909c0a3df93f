package tulipshed.emulator.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tulipshed.emulator.model.World;

/** Plays a run again, as all of it follows from its options.seed, and tells what happened around a moment. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Tells in words what happened around a moment of a run, which it plays again from its seed.")
final class ReplayCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Mixin
    ScenarioOptions options;

    @Option(names = "--at-ms", required = true, description = "The moment, in milliseconds from the day's beginning.")
    double atMs;

    @Option(
            names = "--around-ms",
            defaultValue = "100",
            description = "How much before and after (default ${DEFAULT-VALUE}).")
    double aroundMs;

    @Option(names = "--about", description = "Only what names this, such as n-3, m-12 or n-3/17.")
    String about;

    @Option(names = "--most", defaultValue = "1000", description = "Lines at most (default ${DEFAULT-VALUE}).")
    int most;

    @Override
    public Integer call() {
        PrintWriter w = spec.commandLine().getOut();
        int[] lines = new int[1];
        World world = new World(options.scenario(options.overrides()), options.seed, 1);
        world.tellBetween(atMs - aroundMs, atMs + aroundMs, line -> {
            if ((about == null || (line + " ").replaceAll("[,:;]", " ").contains(" " + about + " "))
                    && lines[0]++ < most) {
                w.println(line);
            }
        });
        world.runUntil(atMs + aroundMs);
        if (lines[0] > most) {
            w.println("and " + (lines[0] - most) + " lines more");
        } else if (lines[0] == 0) {
            w.println("nothing happened then");
        }
        w.flush();
        return 0;
    }
}

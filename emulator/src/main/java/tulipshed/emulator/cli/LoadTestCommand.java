package tulipshed.emulator.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tulipshed.emulator.loadtest.LoadTestRun;
import tulipshed.emulator.loadtest.NodeCommand;
import tulipshed.emulator.loadtest.NodeUsage;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.results.Results;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;

/** Plays a scenario with real nodes, in real time. */
@Command(
        name = "load-test",
        aliases = "load",
        mixinStandardHelpOptions = true,
        description = "Plays a scenario in real time with real nodes on "
                + "loopback; members, discovery and clients are the emulator's, and so are rules and results.")
final class LoadTestCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Mixin
    ScenarioOptions options;

    @Mixin
    NodeOptions node;

    @Option(names = "--out", description = "A folder of results to add this run to, under the policy's name sockets.")
    Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        NodeCommand command = node.command();
        Overrides overrides = options.overrides();
        Scenario scenario = options.scenario(overrides);
        try (LoadTestRun run = new LoadTestRun(scenario, options.seed, command)) {
            RunResult o = run.run().as("sockets");
            PrintWriter w = spec.commandLine().getOut();
            w.printf(
                    Locale.ROOT,
                    "%s, seed %d, real nodes: %.0f s; the tool was busy for %.1f ms at most, %d strange lines%n",
                    scenario.name(),
                    options.seed,
                    scenario.durationMs() / 1000,
                    run.behindMs(),
                    run.unknownFirstLines().count());
            o.figures().forEach((name, value) -> w.printf(Locale.ROOT, "  %-24s %s%n", name, RunCommand.plain(value)));
            w.print(o.rules());
            List<NodeUsage> usage = run.usage();
            printUsage(w, usage, run.acceptedConnections());
            w.flush();
            if (out != null) {
                try (Results results = new Results(out)) {
                    String key = RunKeys.key(o.scenario(), overrides, options.seed);
                    results.writeNodes(key, usage);
                    results.write(key, overrides.values(), o);
                }
            }
            return 0;
        }
    }

    private static void printUsage(PrintWriter w, List<NodeUsage> nodes, long acceptedConnections) {
        w.printf(
                "%-6s %8s %11s %12s %12s %11s %9s %7s%n",
                "node", "cpu s", "memory MiB", "descriptors", "connections", "list bytes", "requests", "served");
        for (NodeUsage node : nodes) {
            printUsage(w, Integer.toString(node.node()), figure -> figure.applyAsDouble(node));
        }
        printUsage(w, "mean", figure -> NodeUsage.mean(nodes, figure));
        long withRequest =
                nodes.stream().mapToLong(NodeUsage::endpointConnections).sum();
        w.printf("connections to endpoints without a request, all nodes: %d%n", acceptedConnections - withRequest);
    }

    private static void printUsage(PrintWriter w, String name, Function<ToDoubleFunction<NodeUsage>, Double> value) {
        w.printf(
                Locale.ROOT,
                "%-6s %8.2f %11.1f %12.0f %12.0f %11.0f %9.0f %7.3f%n",
                name,
                value.apply(NodeUsage::cpuSeconds),
                value.apply(NodeUsage::peakMemoryMib),
                value.apply(NodeUsage::peakDescriptors),
                value.apply(NodeUsage::endpointConnections),
                value.apply(NodeUsage::listBytes),
                value.apply(NodeUsage::requests),
                value.apply(NodeUsage::servedShare));
    }
}

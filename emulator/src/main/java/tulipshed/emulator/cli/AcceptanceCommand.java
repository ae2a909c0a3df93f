package tulipshed.emulator.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tulipshed.emulator.acceptance.AcceptanceResult;
import tulipshed.emulator.acceptance.AcceptanceRunner;
import tulipshed.emulator.acceptance.ScenarioGenerator;
import tulipshed.emulator.acceptance.ScenarioKind;

/** Plays the days of the standing test; exit code 1 where one of them fails. */
@Command(
        name = "acceptance",
        aliases = "gate",
        mixinStandardHelpOptions = true,
        exitCodeList = {"0:the gate is passed", "1:a day failed", "2:wrong usage"},
        exitCodeListHeading = "Exit codes:%n",
        description = "Plays the days of the standing test around the whole core and says "
                + "whether every rule was kept and enough was served.")
final class AcceptanceCommand implements Callable<Integer> {
    private static final double NEAR = 0.15; // margins below this are listed again at the end
    private static final double NEAR_CALM = 0.05; // a calm day's cannot be much above 0.1, by how it is reckoned

    @Spec
    CommandSpec spec;

    @Parameters(
            paramLabel = "DAY",
            arity = "0..*",
            description = "calm, roll, herd, zone, split, join; all where none is named.")
    List<String> days = new ArrayList<>();

    @Option(names = "--seeds", defaultValue = "2", description = "Days of each kind (default ${DEFAULT-VALUE}).")
    int seeds;

    @Option(names = "--seed", defaultValue = "1", description = "The first seed (default ${DEFAULT-VALUE}).")
    long first;

    @Option(names = "--nodes", defaultValue = "100", description = "About that many nodes (default ${DEFAULT-VALUE}).")
    int nodes;

    @Option(
            names = "--members",
            defaultValue = "90",
            description = "About that many members (default ${DEFAULT-VALUE}).")
    int members;

    @Option(names = "--threads", description = "Days played at a time (default: one for each core).")
    int threads = Runtime.getRuntime().availableProcessors();

    @Option(names = "--policy", defaultValue = "core", description = "Who decides (default ${DEFAULT-VALUE}).")
    String policy;

    @Option(names = "--set", paramLabel = "PATH=VALUE", description = "Replaces a figure of every day.")
    Map<String, String> set = new LinkedHashMap<>();

    @Option(
            names = "--quiet-s",
            defaultValue = "0",
            description =
                    "Seconds without any trouble before each day, which are not judged (default ${DEFAULT-VALUE}).")
    int quietS;

    @Option(
            names = "--with",
            paramLabel = "FORM",
            description = "More for the scenario of every day, such as '(trouble reload (at-s 14))'.")
    List<String> forms = new ArrayList<>();

    @Option(names = "--print", description = "Prints the days as scenarios in place of playing them.")
    boolean print;

    @Override
    public Integer call() {
        if (seeds < 1 || threads < 1 || nodes < 1 || members < 1 || quietS < 0) {
            throw new IllegalArgumentException(
                    "--seeds, --threads, --nodes and --members are 1 or more, --quiet-s 0 or more");
        }
        List<ScenarioKind> kinds = (days.isEmpty() ? ScenarioKind.words() : days)
                .stream().map(ScenarioKind::of).distinct().toList();
        ScenarioGenerator.Size size = new ScenarioGenerator.Size(nodes, members);
        ScenarioGenerator.Beside beside = new ScenarioGenerator.Beside(quietS, String.join("\n", forms));
        PrintWriter w = spec.commandLine().getOut();
        if (print) {
            kinds.forEach(k -> {
                for (long s = first; s < first + seeds; s++) {
                    w.print(ScenarioGenerator.text(k, s, size, beside));
                }
            });
            w.flush();
            return 0;
        }
        w.printf(
                Locale.ROOT,
                "%-6s %5s  %5s x %-7s %7s %10s %9s %6s %7s %9s %8s %7s%n",
                "day",
                "seed",
                "nodes",
                "members",
                "served",
                "sees late",
                "plainest",
                "wants",
                "margin",
                "attempts",
                "refused",
                "strain");
        long began = System.nanoTime();
        List<AcceptanceResult> all = new AcceptanceRunner(size, beside, policy, set)
                .play(kinds, first, seeds, threads, v -> {
                    w.printf(
                            Locale.ROOT,
                            "%-6s %5d  %5d x %-7d %7.3f %10.3f %9.3f %6.3f %7.3f %9.2f %8.2f %7.3f%s%n",
                            v.kind().word(),
                            v.seed(),
                            v.nodes(),
                            v.members(),
                            v.served(),
                            v.seesLate(),
                            v.plainest(),
                            v.wants(),
                            v.margin(),
                            v.attempts(),
                            v.refused(),
                            v.strain(),
                            v.passed() ? "" : "  FAILED");
                    w.flush();
                });
        w.printf(
                Locale.ROOT,
                "%d days in %.1f s, lowest margin %.3f%n",
                all.size(),
                (System.nanoTime() - began) / 1e9,
                all.stream().mapToDouble(AcceptanceResult::margin).min().orElse(0));
        w.printf(
                Locale.ROOT,
                "highest strain of slow start %.3f by the operators' formula, %.3f by the rule here%n",
                all.stream().mapToDouble(AcceptanceResult::strain).max().orElse(0),
                all.stream().mapToDouble(AcceptanceResult::ownStrain).max().orElse(0));
        all.stream()
                .filter(v -> v.passed() && v.margin() < (v.kind() == ScenarioKind.CALM ? NEAR_CALM : NEAR))
                .forEach(v -> w.printf(Locale.ROOT, "near: %s, margin %.3f%n", v.day(), v.margin()));
        List<AcceptanceResult> failed = all.stream().filter(v -> !v.passed()).toList();
        failed.forEach(v -> w.printf("%s --nodes %d --members %d: %s%n", v.day(), nodes, members, v.fault()));
        w.println(
                failed.isEmpty()
                        ? "gate passed"
                        : "gate failed: " + failed.get(0).day());
        w.flush();
        return failed.isEmpty() ? 0 : 1;
    }
}

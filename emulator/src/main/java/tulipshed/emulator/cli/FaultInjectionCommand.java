package tulipshed.emulator.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tulipshed.emulator.faultinjection.FaultInjectionResult;
import tulipshed.emulator.faultinjection.FaultInjectionRun;
import tulipshed.emulator.loadtest.NodeCommand;
import tulipshed.emulator.scenario.Scenario;

/** Plays a scenario with real nodes whose links to members and discovery fail as it says, and judges what came of it. */
@Command(
        name = "fault-injection",
        aliases = "trial",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scenario in real time with real nodes, over links "
                        + "that fail as it says, and holds the fleet to the rules. Exit code 0 passed, 1 failed, 3 void: the tool was too slow.")
final class FaultInjectionCommand implements Callable<Integer> {
    private static final int VOID = 3;
    private static final double AROUND_MS = 1500;

    @Spec
    CommandSpec spec;

    @Mixin
    ScenarioOptions options;

    @Mixin
    NodeOptions node;

    @Option(
            names = "--seeds",
            defaultValue = "1",
            description = "How many seeds, from --seed on (default ${DEFAULT-VALUE}).")
    int seeds;

    @Option(
            names = "--attempts",
            defaultValue = "2",
            description = "Attempts an asking at most (default ${DEFAULT-VALUE}).")
    double attempts;

    @Option(
            names = "--whole-s",
            defaultValue = "8",
            description = "Seconds after the last fault until the fleet serves as before (default ${DEFAULT-VALUE}).")
    double wholeS;

    @Option(
            names = "--whole",
            defaultValue = "0.9",
            description = "That part of what it served before (default ${DEFAULT-VALUE}).")
    double whole;

    @Override
    public Integer call() throws IOException, InterruptedException {
        NodeCommand command = node.command();
        Scenario s = options.scenario(options.overrides());
        PrintWriter out = spec.commandLine().getOut();
        int worst = 0;
        for (long seed = options.seed; seed < options.seed + seeds; seed++) {
            try (FaultInjectionRun trial = new FaultInjectionRun(s, seed, command)) {
                FaultInjectionResult v = trial.play(new FaultInjectionResult.Bounds(attempts, 1000 * wholeS, whole));
                tell(out, s, seed, v);
                if (v.breachMs() >= 0) {
                    out.println("  what the nodes said around the first breach:");
                    trial.said(v.breachMs() - AROUND_MS, v.breachMs() + AROUND_MS)
                            .forEach(l -> out.println("    " + l));
                }
                worst = v.failed() ? 1 : v.passed() || worst == 1 ? worst : VOID;
            }
            out.flush();
        }
        return worst;
    }

    private static void tell(PrintWriter out, Scenario s, long seed, FaultInjectionResult v) {
        out.printf(
                Locale.ROOT,
                "%s --seed %d: %s%n",
                s.name(),
                seed,
                v.passed() ? "passed" : v.failed() ? "FAILED" : "void");
        v.schedule().forEach(f -> out.println("  " + f));
        out.print("  served by second:");
        v.served().forEach(d -> out.printf(Locale.ROOT, " %.2f", d));
        out.printf(
                Locale.ROOT,
                "%n  %d checked, %.2f attempts an asking, %.3f refused; relays %.1f ms late at most, the tool %.1f ms%n",
                v.outcome().rules().checkCount(),
                v.outcome().figure("attempts_per_ask"),
                v.outcome().figure("refused_per_ask"),
                v.relaysLateMs(),
                v.toolLateMs());
        v.voids().forEach(w -> out.println("  void: " + w));
        v.breaches().forEach(b -> out.println("  breach: " + b));
    }
}

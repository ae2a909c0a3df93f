package tulipshed.emulator.model;

import java.util.List;
import tulipshed.emulator.scenario.FaultSettings;
import tulipshed.emulator.scenario.RequestClassSettings;

/**
 * All nodes, in a number of steps, get a series of signals: reloads in a row, SIGTERM, further reloads and SIGTERMs during the
 * shutdown, and SIGKILL at the earliest moment that the platform allows. The next process starts after that.
 */
record SignalSeriesFault() implements FaultKind {
    /** The longest deadline that a platform waits for after SIGTERM. */
    private static final double LONGEST_DEADLINE_MS = 3_000;

    /** How long after that deadline SIGKILL comes at the earliest. */
    private static final double KILL_AFTER_DEADLINE_MS = 700;

    private static final int MAX_RELOADS = 4;
    private static final int MAX_LATER_SIGNALS = 4;

    /** Reloads come this long before SIGTERM at most. */
    private static final double RELOADS_MS = 400;

    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        int steps = Math.max(1, trouble.count());
        double killAfterMs = killAfterMs(plan);
        List<NodeActor> nodes = plan.shuffledNodes();
        for (int i = 0; i < nodes.size(); i++) {
            int step = i * steps / nodes.size();
            double termMs = trouble.atMs() + trouble.durationMs() * step / steps;
            planNode(plan, nodes.get(i), termMs, killAfterMs);
        }
    }

    private static double killAfterMs(FaultPlan plan) {
        double longestMs = plan.scenario().requestClasses().stream()
                .mapToDouble(RequestClassSettings::deadlineMs)
                .max()
                .orElse(LONGEST_DEADLINE_MS);
        return Math.min(longestMs, LONGEST_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS;
    }

    private static void planNode(FaultPlan plan, NodeActor node, double termMs, double killAfterMs) {
        int reloads = plan.randomInt(MAX_RELOADS);
        for (int reload = 0; reload < reloads; reload++) {
            send(plan, node, termMs - plan.randomUpTo(RELOADS_MS), ProcessSignal.HUP);
        }
        send(plan, node, termMs, ProcessSignal.TERM);
        int laterSignals = plan.randomInt(MAX_LATER_SIGNALS);
        for (int signal = 0; signal < laterSignals; signal++) {
            ProcessSignal later = plan.randomInt(2) == 0 ? ProcessSignal.HUP : ProcessSignal.TERM;
            send(plan, node, termMs + plan.randomUpTo(killAfterMs), later);
        }
        send(plan, node, termMs + killAfterMs, ProcessSignal.KILL);
    }

    private static void send(FaultPlan plan, NodeActor node, double atMs, ProcessSignal signal) {
        plan.send(atMs, node, new ProcessMessage.SignalSent(signal));
    }
}

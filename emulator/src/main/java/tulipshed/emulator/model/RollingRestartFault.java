package tulipshed.emulator.model;

import java.util.List;
import tulipshed.emulator.scenario.FaultSettings;

/** All nodes drain and restart, in a number of steps. */
record RollingRestartFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        int steps = Math.max(1, trouble.count());
        List<NodeActor> nodes = plan.shuffledNodes();
        for (int i = 0; i < nodes.size(); i++) {
            int step = i * steps / nodes.size();
            double stopMs = trouble.atMs() + trouble.durationMs() * step / steps;
            plan.send(stopMs, nodes.get(i), new ProcessMessage.StopProcess(true));
        }
    }
}

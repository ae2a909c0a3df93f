package tulipshed.emulator.model;

import tulipshed.emulator.scenario.Scenario.Trouble;

/** Processes of nodes drain and exit, or are killed. */
record StopNodesFault(boolean graceful) implements FaultKind {
    @Override
    public void plan(Trouble trouble, FaultPlan plan) {
        for (NodeActor node : plan.chooseNodes(trouble)) {
            plan.send(plan.randomTime(trouble), node, new ProcessMessage.StopProcess(graceful));
        }
    }
}

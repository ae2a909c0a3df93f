package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Processes of nodes drain and exit, or are killed. */
record StopNodesFault(boolean graceful) implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        for (NodeActor node : plan.chooseNodes(trouble)) {
            plan.send(plan.randomTime(trouble), node, new ProcessMessage.StopProcess(graceful));
        }
    }
}

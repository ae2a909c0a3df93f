package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Processes of nodes stall now and then for a time. */
record StallNodesFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        for (NodeActor node : plan.chooseNodes(trouble)) {
            plan.send(trouble.atMs(), node, new ProcessMessage.StallsBegin(trouble.durationMs()));
        }
    }
}

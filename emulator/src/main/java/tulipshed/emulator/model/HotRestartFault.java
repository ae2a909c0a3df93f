package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Nodes hand over to new processes. */
record HotRestartFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        for (NodeActor node : plan.chooseNodes(trouble)) {
            plan.send(plan.randomTime(trouble), node, new ProcessMessage.HotRestart());
        }
    }
}

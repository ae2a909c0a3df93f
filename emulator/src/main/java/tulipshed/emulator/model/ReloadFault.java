package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** All nodes read their configuration again. */
record ReloadFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        for (NodeActor node : plan.nodes()) {
            plan.send(plan.randomTime(trouble), node, new ProcessMessage.ReloadConfiguration());
        }
    }
}

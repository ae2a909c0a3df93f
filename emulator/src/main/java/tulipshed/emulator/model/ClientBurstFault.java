package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Clients arrive several times as often for a time. */
record ClientBurstFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        for (NodeActor node : plan.nodes()) {
            plan.send(trouble.atMs(), node, new ClientMessage.ArrivalRate(trouble.factor()));
            plan.send(plan.endMs(trouble), node, new ClientMessage.ArrivalRate(1));
        }
    }
}

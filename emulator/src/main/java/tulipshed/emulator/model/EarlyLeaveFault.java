package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** A share of the clients leaves before it is answered, for a time. */
record EarlyLeaveFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        double usualShare = plan.scenario().clients().abandonShare();
        for (NodeActor node : plan.nodes()) {
            plan.send(trouble.atMs(), node, new ClientMessage.EarlyLeaveShare(trouble.share()));
            plan.send(plan.endMs(trouble), node, new ClientMessage.EarlyLeaveShare(usualShare));
        }
    }
}

package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Clients that are refused retry at once for a time. */
record ImpatientClientsFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        for (NodeActor node : plan.nodes()) {
            plan.send(trouble.atMs(), node, new ClientMessage.ImpatientClients(trouble.durationMs()));
        }
    }
}

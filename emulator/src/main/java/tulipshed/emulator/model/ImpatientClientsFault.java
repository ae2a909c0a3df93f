package tulipshed.emulator.model;

import tulipshed.emulator.scenario.Scenario.Trouble;

/** Clients that are refused retry at once for a time. */
record ImpatientClientsFault() implements FaultKind {
    @Override
    public void plan(Trouble trouble, FaultPlan plan) {
        for (NodeActor node : plan.nodes()) {
            plan.send(trouble.atMs(), node, new ClientMessage.ImpatientClients(trouble.overMs()));
        }
    }
}

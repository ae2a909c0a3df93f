package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** A share of the answers of all endpoints has a fate for a time: lost, spoilt, or a reset in their place. */
record AnswerFault(EndpointFaults.Fate fate) implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        for (int endpoint = 0; endpoint < plan.endpointCount(); endpoint++) {
            plan.setFaultShare(trouble, endpoint, fate, trouble.share());
        }
    }
}

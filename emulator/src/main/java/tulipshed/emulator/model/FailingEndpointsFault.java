package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Endpoints answer a share of requests with an error at once, for a time. */
record FailingEndpointsFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        double share = Math.min(1, trouble.factor());
        for (int endpoint : plan.chooseEndpoints(trouble)) {
            plan.setFaultShare(trouble, endpoint, EndpointFaults.Fate.ERROR, share);
        }
    }
}

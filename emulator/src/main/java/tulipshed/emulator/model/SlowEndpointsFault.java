package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Endpoints are slower for a time. */
record SlowEndpointsFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        double factor = Math.max(1, trouble.factor());
        for (int endpoint : plan.chooseEndpoints(trouble)) {
            plan.send(trouble.atMs(), plan.endpoint(endpoint), new EndpointMessage.Slowdown(factor));
            plan.send(plan.endMs(trouble), plan.endpoint(endpoint), new EndpointMessage.Slowdown(1));
        }
    }
}

package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Endpoints stand still for a time. */
record PauseEndpointsFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        for (int endpoint : plan.chooseEndpoints(trouble)) {
            plan.send(trouble.atMs(), plan.endpoint(endpoint), new EndpointMessage.Pause(trouble.durationMs()));
        }
    }
}

package tulipshed.emulator.model;

import tulipshed.emulator.scenario.Scenario.Trouble;

/** Endpoints stand still for a time. */
record PauseEndpointsFault() implements FaultKind {
    @Override
    public void plan(Trouble trouble, FaultPlan plan) {
        for (int endpoint : plan.chooseEndpoints(trouble)) {
            plan.send(trouble.atMs(), plan.endpoint(endpoint), new EndpointMessage.Pause(trouble.overMs()));
        }
    }
}

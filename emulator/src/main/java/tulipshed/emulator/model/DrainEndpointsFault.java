package tulipshed.emulator.model;

import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.scenario.FaultSettings;

/** Endpoints drain and end; where they are deployed anew, their next processes start. */
record DrainEndpointsFault(boolean restarts) implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        for (int endpoint : plan.chooseEndpoints(trouble)) {
            double drainMs = plan.randomTime(trouble);
            double endMs = drainMs + plan.scenario().endpointModel().drainMs();
            plan.changeStatus(drainMs, endpoint, EndpointStatus.DRAINING, 0);
            plan.send(endMs, plan.endpoint(endpoint), new EndpointMessage.DrainOver());
            plan.changeStatus(endMs, endpoint, EndpointStatus.REMOVED, 0);
            if (restarts) {
                double startMs = endMs + plan.scenario().endpointModel().restartMs();
                plan.send(startMs, plan.endpoint(endpoint), new EndpointMessage.ProcessStarts());
                plan.changeStatus(startMs, endpoint, EndpointStatus.SERVING, startMs);
            }
        }
    }
}

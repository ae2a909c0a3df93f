package tulipshed.emulator.model;

import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.scenario.FaultSettings;

/** Endpoints that did not run at the beginning start one after another. */
record AddEndpointsFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        int first = plan.takeSpareEndpoints(trouble);
        for (int endpoint = first; endpoint < first + plan.count(trouble); endpoint++) {
            double startMs = plan.randomTime(trouble);
            plan.send(startMs, plan.endpoint(endpoint), new EndpointMessage.ProcessStarts());
            plan.changeStatus(startMs, endpoint, EndpointStatus.SERVING, startMs);
        }
    }
}

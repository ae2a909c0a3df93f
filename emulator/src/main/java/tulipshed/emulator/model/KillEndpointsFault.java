package tulipshed.emulator.model;

import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.scenario.DiscoverySettings;
import tulipshed.emulator.scenario.FaultSettings;

/** Processes of endpoints die: in silence, or with a reset of their connections, which discovery detects sooner. */
record KillEndpointsFault(boolean withReset) implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        DiscoverySettings discovery = plan.scenario().discovery();
        for (int endpoint : plan.chooseEndpoints(trouble)) {
            double endMs = plan.randomTime(trouble);
            plan.send(endMs, plan.endpoint(endpoint), new EndpointMessage.ProcessEnds(withReset));
            double detectedMs =
                    endMs + (withReset ? discovery.failureDetectionMs() : discovery.silentFailureDetectionMs());
            plan.changeStatus(detectedMs, endpoint, EndpointStatus.REMOVED, 0);
        }
    }
}

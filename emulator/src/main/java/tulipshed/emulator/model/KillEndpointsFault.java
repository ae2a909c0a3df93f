package tulipshed.emulator.model;

import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.Scenario.Trouble;

/** Processes of endpoints die: in silence, or with a reset of their connections, which discovery detects sooner. */
record KillEndpointsFault(boolean withReset) implements FaultKind {
    @Override
    public void plan(Trouble trouble, FaultPlan plan) {
        Scenario.Discovery discovery = plan.scenario().discovery();
        for (int endpoint : plan.chooseEndpoints(trouble)) {
            double endMs = plan.randomTime(trouble);
            plan.send(endMs, plan.endpoint(endpoint), new EndpointMessage.ProcessEnds(withReset));
            double detectedMs = endMs + (withReset ? discovery.detectMs() : discovery.silentMs());
            plan.changeStatus(detectedMs, endpoint, EndpointStatus.REMOVED, 0);
        }
    }
}

package tulipshed.emulator.model;

import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.scenario.FaultSettings;

/** All endpoints of one site die in silence at one moment, and start again together. */
record ZoneLossFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        String site = plan.site(trouble);
        double startMs = plan.endMs(trouble);
        double detectedMs = trouble.atMs() + plan.scenario().discovery().silentFailureDetectionMs();
        for (int endpoint = 0; endpoint < plan.initialEndpointCount(); endpoint++) {
            if (plan.endpoint(endpoint).site.equals(site)) {
                plan.send(trouble.atMs(), plan.endpoint(endpoint), new EndpointMessage.ProcessEnds(false));
                if (detectedMs < startMs) {
                    plan.changeStatus(detectedMs, endpoint, EndpointStatus.REMOVED, 0);
                }
                plan.send(startMs, plan.endpoint(endpoint), new EndpointMessage.ProcessStarts());
                plan.changeStatus(startMs, endpoint, EndpointStatus.SERVING, startMs);
            }
        }
    }
}

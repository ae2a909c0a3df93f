package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Clocks of endpoints step ahead or back, for a time or for good. */
record EndpointClockFault(boolean isAhead) implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        double offsetMs = 1000 * trouble.factor() * (isAhead ? 1 : -1);
        for (int endpoint : plan.chooseEndpointsEver(trouble)) {
            plan.send(trouble.atMs(), plan.discovery(), new DiscoveryMessage.ClockStep(endpoint, offsetMs));
            if (trouble.durationMs() > 0) {
                plan.send(plan.endMs(trouble), plan.discovery(), new DiscoveryMessage.ClockStep(endpoint, 0));
            }
        }
    }
}

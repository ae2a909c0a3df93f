package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Discovery fails all calls for a time. */
record DiscoveryOutageFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        plan.send(trouble.atMs(), plan.discovery(), new DiscoveryMessage.Outage(trouble.durationMs()));
    }
}

package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Discovery learns of changes later for a time. */
record DiscoveryDelayFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        double delayMs = 1000 * trouble.factor();
        plan.send(trouble.atMs(), plan.discovery(), new DiscoveryMessage.NotificationDelay(delayMs));
        plan.send(plan.endMs(trouble), plan.discovery(), new DiscoveryMessage.NotificationDelay(0));
    }
}

package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.scenario.FaultSettings;

/** Endpoints run and are out of reach of all nodes for a time. */
record SilenceEndpointsFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        plan.announcePartition(trouble);
    }

    @Override
    public void planPartitions(FaultSettings trouble, UniformRandomProvider random, World world) {
        for (int endpoint : FaultPlan.choose(random, trouble, world.listedAtStart)) {
            world.cuts.member(endpoint, trouble.atMs(), trouble.atMs() + trouble.durationMs());
        }
    }
}

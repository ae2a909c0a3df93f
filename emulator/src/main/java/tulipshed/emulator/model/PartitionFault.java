package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.scenario.FaultSettings;

/** One site is out of reach of all others for a time. */
record PartitionFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        plan.announcePartition(trouble);
    }

    @Override
    public void planPartitions(FaultSettings trouble, UniformRandomProvider random, World world) {
        world.cuts.site(FaultPlan.site(trouble, world), trouble.atMs(), trouble.atMs() + trouble.durationMs());
    }
}

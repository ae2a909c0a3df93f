package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.scenario.Scenario.Trouble;

/** One site is out of reach of all others for a time. */
record PartitionFault() implements FaultKind {
    @Override
    public void plan(Trouble trouble, FaultPlan plan) {
        plan.announcePartition(trouble);
    }

    @Override
    public void planPartitions(Trouble trouble, UniformRandomProvider random, World world) {
        world.cuts.site(FaultPlan.site(trouble, world), trouble.atMs(), trouble.atMs() + trouble.overMs());
    }
}

package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.scenario.FaultSettings;

/** Nodes' own clocks are ahead of virtual time during the whole run. */
record NodeClockFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        // Set before the nodes start.
    }

    @Override
    public void planNodeClocks(FaultSettings trouble, UniformRandomProvider random, double[] offsetsMs) {
        for (int node : FaultPlan.choose(random, trouble, offsetsMs.length)) {
            offsetsMs[node] = 1000 * trouble.factor();
        }
    }
}

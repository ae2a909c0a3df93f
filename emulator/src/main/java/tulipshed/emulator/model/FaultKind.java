package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.scenario.FaultSettings;

/**
 * One kind of fault that a scenario may name. All of a fault is planned before the run begins: whom it strikes is drawn at
 * random, and what happens to each actor is a message with its time. {@link FaultKinds} registers the kinds by name.
 */
interface FaultKind {
    /** Plans one fault of this kind. */
    void plan(FaultSettings trouble, FaultPlan plan);

    /** Records what is out of reach of what, and when; called before any actor starts. */
    default void planPartitions(FaultSettings trouble, UniformRandomProvider random, World world) {}

    /**
     * Sets by how much nodes' clocks are ahead of virtual time; called before any node starts.
     *
     * @param offsetsMs in milliseconds, by node
     */
    default void planNodeClocks(FaultSettings trouble, UniformRandomProvider random, double[] offsetsMs) {}
}

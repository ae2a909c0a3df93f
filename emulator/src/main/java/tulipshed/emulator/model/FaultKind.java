package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.scenario.Scenario.Trouble;

/**
 * One kind of fault that a scenario may name. All of a fault is planned before the run begins: whom it strikes is drawn at
 * random, and what happens to each actor is a message with its time. {@link FaultKinds} registers the kinds by name.
 */
interface FaultKind {
    /** Plans one fault of this kind. */
    void plan(Trouble trouble, FaultPlan plan);

    /** Records what is out of reach of what, and when; called before any actor starts. */
    default void planPartitions(Trouble trouble, UniformRandomProvider random, World world) {}

    /**
     * Sets by how much nodes' clocks are ahead of virtual time; called before any node starts.
     *
     * @param offsetsMs in milliseconds, by node
     */
    default void planNodeClocks(Trouble trouble, UniformRandomProvider random, double[] offsetsMs) {}
}

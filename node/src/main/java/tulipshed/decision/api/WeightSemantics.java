package tulipshed.decision.api;

/** Meaning of the weights in the endpoint list. */
public enum WeightSemantics {
    /** The weights have no meaning. */
    NONE,
    /** Total capacity, which is constant. */
    SIZE,
    /** Free capacity, which falls with the load. */
    LIVE
}

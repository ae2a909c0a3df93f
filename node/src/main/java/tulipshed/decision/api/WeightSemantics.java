package tulipshed.decision.api;

/** Meaning of the weights in the endpoint list. */
public enum WeightSemantics {
    /** Not specified; the weights are used as the size. */
    NONE,
    /** Total capacity, which is constant. */
    SIZE,
    /** Free capacity, which falls with the load. */
    LIVE
}

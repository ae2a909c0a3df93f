package tulipshed.decision.api;

/** Meaning of the weights in the endpoint list. */
public enum WeightSemantics {
    /** None. */
    NONE,
    /** Capacity, which is constant. */
    SIZE,
    /** Free capacity, which falls with the load. */
    LIVE
}

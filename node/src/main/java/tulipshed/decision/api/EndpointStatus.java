package tulipshed.decision.api;

/** Lifecycle state of an endpoint. */
public enum EndpointStatus {
    /** Accepts new connections. */
    SERVING,
    /** Keeps its connections and accepts no new ones. */
    DRAINING,
    /** No longer on the list. */
    REMOVED
}

package tulipshed.emulator.invariants;

/** The invariants that a node must hold, whatever happens to it. */
public enum Invariant {
    /**
     * Each request gets exactly one final answer while its client is connected: established, rejected or failed. The
     * operators' term is "one final answer".
     */
    EXACTLY_ONE_ANSWER("one-answer"),
    /** The final answer comes at the client's deadline plus the slack at the latest. */
    ANSWER_IN_TIME("in-time"),
    /** A request has at most one attempt in progress, and none once it is answered or its client has left. */
    ONE_ATTEMPT_AT_A_TIME("one-flow"),
    /** No attempt starts at an endpoint later than the drain grace period after the news that it drains or is removed. */
    NO_ATTEMPT_AFTER_DRAIN_GRACE("drain"),
    /** Nodes that know of an endpoint's slow start do not overload it; see {@link SlowStartInvariant}. */
    SLOW_START_LIMIT("cold");

    private final String label;

    Invariant(String label) {
        this.label = label;
    }

    /** The name in printed results; stable, with hyphens. */
    public String label() {
        return label;
    }
}

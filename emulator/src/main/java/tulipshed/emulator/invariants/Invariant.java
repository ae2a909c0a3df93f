package tulipshed.emulator.invariants;

/** What is checked. */
public enum Invariant {
    /** A transaction gets one final answer, and no more. */
    ONE_ANSWER,
    /** The answer comes before the client gives up, or within the slack after. */
    IN_TIME,
    /** A transaction has one flow out at a time, and none once it is answered. */
    ONE_FLOW,
    /** Nothing new is sent to a member later than the grace after it was told to drain or be gone. */
    DRAIN,
    /** No member that is cold is pushed over by nodes that know it to be. */
    COLD
}

package tulipshed.emulator.policy;

import tulipshed.emulator.invariants.ObservedRequest;

/**
 * One request of a client at one node, until it is answered and its connection, if any, has ended. Its node and the
 * node's policy share its fields.
 */
public final class ClientRequest {
    /** Number of the request at its node. */
    public final long id;

    /** What the client wants. */
    public final ClientDemand demand;

    /** Virtual time at which it arrived. */
    public final double arrivalMs;

    /** Virtual time until which the client waits for the answer. */
    public final double deadlineMs;

    /** The record by which the invariants follow it. */
    public final ObservedRequest observed;

    /** Whether its final answer is still owed. */
    public boolean answerPending = true;

    /** Whether the node's process has read it. */
    public boolean received;

    /** Whether its connection is established. */
    public boolean established;

    /** Whether the client stopped waiting because no answer came in time. */
    public boolean clientTimedOut;

    /** The attempt in progress or the established connection; null for none. */
    public EmulatedAttempt attempt;

    /** Number of attempts so far. */
    public int attemptCount;

    /** Its index in the node's list of requests; below 0 once the node has dropped it. */
    public int indexAtNode = -1;

    /** The process that decides on it, during a hot restart. */
    Object process;

    /** The policy's own state of the request. */
    public Object policyState;

    /** A request that has just arrived. */
    public ClientRequest(long id, ClientDemand demand, double arrivalMs, double deadlineMs, ObservedRequest observed) {
        this.id = id;
        this.demand = demand;
        this.arrivalMs = arrivalMs;
        this.deadlineMs = deadlineMs;
        this.observed = observed;
    }

    /** Milliseconds until the client stops waiting; negative afterwards. */
    public double remainingMs(double nowMs) {
        return deadlineMs - nowMs;
    }
}

package tulipshed.emulator.policy;

/**
 * One attempt of a request at an endpoint, and the connection that it becomes. Node and endpoint run concurrently, so each
 * mutable field belongs to one of them: {@code ended} and {@code policyState} to the node, {@code indexAtEndpoint},
 * {@code cancelled} and {@code load} to the endpoint. The endpoint must not read the request.
 */
public final class EmulatedAttempt {
    /** The request that it serves. */
    public final ClientRequest request;

    /** Index of the endpoint. */
    public final int endpoint;

    /** Number of the attempt within its request, from 0. */
    public final int number;

    /** Virtual time at which the node sent it. */
    public final double sentMs;

    /** Start of the endpoint's process as the node was notified; NaN where the node takes the endpoint to be warm. */
    public final double notifiedStartMs;

    /** The node's actor, to which the endpoint replies. */
    public final Object source;

    /** Index of the request class in the scenario. */
    public final int requestClass;

    /** Index of the tenant in the scenario. */
    public final int tenant;

    /** The client's affinity group; below 0 for none. */
    public final int group;

    /** Whether the attempt is over for the node. */
    public boolean ended;

    /** The policy's own state of the attempt. */
    public Object policyState;

    /** Its index among the endpoint's established connections; below 0 while it is none. */
    public int indexAtEndpoint = -1;

    /** Whether the endpoint knows that the node cancelled it. */
    public boolean cancelled;

    /** Present load at the endpoint, in cores of speed 1. */
    public double load;

    /** An attempt that is sent now. */
    public EmulatedAttempt(ClientRequest request, int endpoint, double sentMs, double notifiedStartMs, Object source) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = request.attemptCount;
        this.sentMs = sentMs;
        this.notifiedStartMs = notifiedStartMs;
        this.source = source;
        requestClass = request.demand.requestClass;
        tenant = request.demand.tenant;
        group = request.demand.group;
        load = request.demand.load;
    }
}

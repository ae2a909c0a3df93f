package tulipshed.emulator.policy;

/**
 * The connection that a client wants until a given time. It goes with the client from node to node; only the node that
 * the client asks at the time may change it.
 */
public final class ClientDemand {
    /** Index of the request class in the scenario. */
    public final int requestClass;

    /** Index of the tenant in the scenario. */
    public final int tenant;

    /** The client's affinity group; below 0 for none. */
    public final int group;

    /** Usual load of the connection at its endpoint, in cores of speed 1. */
    public final double usualLoad;

    /** Present load of the connection at its endpoint, in cores of speed 1. */
    public double load;

    /** Virtual time until which the client wants a connection, wherever it is established. */
    public final double wantedUntilMs;

    /** Virtual time of the first request for the connection that the client wants now. */
    public double firstRequestMs;

    /** Requests since {@link #firstRequestMs}. */
    public int requestCount;

    /** Whether the client had a connection before, which broke or was migrated. */
    public boolean reconnecting;

    /**
     * A demand of which nothing has been asked yet.
     *
     * @param load usual and present load, in cores of speed 1
     */
    public ClientDemand(int requestClass, int tenant, int group, double load, double wantedUntilMs) {
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.group = group;
        this.usualLoad = load;
        this.load = load;
        this.wantedUntilMs = wantedUntilMs;
    }
}

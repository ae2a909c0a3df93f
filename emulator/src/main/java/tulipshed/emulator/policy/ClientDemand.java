package tulipshed.emulator.policy;

/** What one client wants: a connection, until its life is over. Goes with the client from node to node. */
public final class ClientDemand {
    public final int requestClass;
    public final int tenant;
    /** Its group, or below 0. */
    public final int group;
    /** Work a second at its member, in cores, as usual and now. */
    public final double usualLoad;

    public double load;
    /** Until when it wants its connection, wherever that stands. */
    public final double untilMs;
    /** When it began to want its connection, this time. */
    public double firstAskedMs;

    public int tries;
    /** Whether it had one before that broke or was moved. */
    public boolean returning;

    public ClientDemand(int requestClass, int tenant, int group, double load, double untilMs) {
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.group = group;
        this.usualLoad = load;
        this.load = load;
        this.untilMs = untilMs;
    }
}

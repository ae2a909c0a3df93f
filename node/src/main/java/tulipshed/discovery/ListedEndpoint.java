package tulipshed.discovery;

import java.net.InetSocketAddress;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.time.WallTime;

/**
 * Entry of the endpoint list as discovery returns it, whose start is the wall-clock time of another machine.
 *
 * @param cell the subdivision of the zone that the endpoint is in
 * @param weight the relative capacity of the endpoint
 * @param started the start of the endpoint's process; {@link #LONG_AGO} if the list gives none
 * @param address the address; null in a removal, which leaves the known address unchanged
 */
public record ListedEndpoint(
        String id,
        EndpointStatus status,
        String zone,
        int cell,
        String machineType,
        double weight,
        WallTime started,
        InetSocketAddress address) {
    /** Start of a process that has been running for a long time; the value if the list gives no start. */
    public static final WallTime LONG_AGO = new WallTime(0);

    /** Whether the list gives the start of the process. */
    boolean isStartKnown() {
        return !started.equals(LONG_AGO);
    }

    /** Returns the entry for the core, with the start as a time of the node's monotonic clock, in microseconds. */
    EndpointListEntry withStart(long startedUs) {
        return new EndpointListEntry(new EndpointInfo(id, status, zone, cell, machineType, weight, startedUs), address);
    }
}

package tulipshed.discovery;

import java.net.InetSocketAddress;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.time.WallTime;

/**
 * One entry of the endpoint list as discovery gives it, with the start on the wall clock of whoever stamped it.
 *
 * @param cell the part of the zone that it is in
 * @param weight its relative capacity
 * @param started the start of its process; {@link #LONG_AGO} if it has run for long
 * @param address null in an update that leaves the known address as it is
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
    /** The start of a process that has run for long. */
    public static final WallTime LONG_AGO = new WallTime(0);

    /** Whether the list says when the process started. */
    boolean isStartKnown() {
        return !started.equals(LONG_AGO);
    }

    /** The entry for the core, with the start on the node's own clock, in microseconds. */
    EndpointListEntry withStart(long startedUs) {
        return new EndpointListEntry(new EndpointInfo(id, status, zone, cell, machineType, weight, startedUs), address);
    }
}

package tulipshed.emulator.policy;

import java.util.List;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.proxy.EndpointListEntry;

/**
 * What discovery tells of one member, by number; the entry is shared by all nodes.
 *
 * @param listed with the time at which the member really started
 * @param clockOffMs by how much the clock that stamped that time is ahead
 */
public record EndpointListing(int member, EndpointListEntry listed, double clockOffMs) {
    /** A list, or a change to one. */
    public record Batch(EndpointListKind kind, List<EndpointListing> news) {}

    public boolean serving() {
        return listed.info().status() == EndpointStatus.SERVING;
    }
}

package tulipshed.emulator.policy;

import tulipshed.decision.api.EndpointStatus;
import tulipshed.proxy.EndpointListEntry;

/**
 * What discovery says of one endpoint; all nodes share one instance.
 *
 * @param endpoint the endpoint's index
 * @param entry the list entry, with the virtual time at which the endpoint's process really started
 * @param clockOffsetMs by how many milliseconds the clock of the endpoint's machine, which stamps the start, is ahead
 */
public record EndpointListing(int endpoint, EndpointListEntry entry, double clockOffsetMs) {
    /** Whether the endpoint accepts new connections according to the list. */
    public boolean isServing() {
        return entry.info().status() == EndpointStatus.SERVING;
    }
}

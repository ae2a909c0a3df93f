package tulipshed.emulator.policy;

import java.util.List;
import tulipshed.decision.api.EndpointListKind;

/**
 * An endpoint list, or changes to one, as it is delivered to a node.
 *
 * @param kind whether the listings are complete, cached or changes, or that discovery could not be reached
 * @param listings the listings, in the order in which discovery names them; empty where discovery could not be reached
 */
public record EndpointListDelivery(EndpointListKind kind, List<EndpointListing> listings) {}

package tulipshed.decision;

import java.util.ArrayList;
import java.util.List;

/** Connections that share work on each server that holds any of them. */
final class ConnectionGroup {
    final long hash;
    final DecayingCounter arrivals;
    final List<EndpointState> members = new ArrayList<>();
    EndpointState[] places;
    int listVersion = -1;

    /** An empty group; {@code memoryUs} is how long its arrivals are remembered, in microseconds. */
    ConnectionGroup(String name, int places, double memoryUs) {
        hash = Hashing.of(name);
        arrivals = new DecayingCounter(memoryUs);
        this.places = new EndpointState[places];
    }
}

package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.policy.EndpointListDelivery;
import tulipshed.emulator.policy.EndpointListing;

/** What a node was told of members, over all its processes. */
final class NotifiedEndpoints {
    private final EndpointListDelivery atStart;
    private final List<EndpointListDelivery> heard = new ArrayList<>();
    private final Map<Integer, Double> started = new HashMap<>();
    private int version;

    NotifiedEndpoints(EndpointListDelivery atStart) {
        this.atStart = atStart;
    }

    /** The version that it holds; below 0 where all is wanted anew. */
    int version() {
        return version;
    }

    /** Discovery is another from now on, so its versions count from their beginning. */
    void anew() {
        version = -1;
    }

    /** What discovery told, up to that version. */
    void hear(EndpointListDelivery batch, int upTo) {
        version = Math.max(version, upTo);
        if (!batch.listings().isEmpty()) {
            heard.add(batch);
        }
    }

    void started(EndpointListing n) {
        long us = n.entry().info().startedUs();
        if (us > 0) {
            started.put(n.endpoint(), us / 1000.0);
        }
    }

    /** When a member started as far as the node knows, in milliseconds; NaN where it is thought warm. */
    double startedMs(int member) {
        return started.getOrDefault(member, Double.NaN);
    }

    /** The list as this node last had it. */
    EndpointListDelivery remembered() {
        Map<Integer, EndpointListing> last = last();
        last.values().removeIf(n -> n.entry().info().status() == EndpointStatus.REMOVED);
        return new EndpointListDelivery(EndpointListKind.CACHED, List.copyOf(last.values()));
    }

    private Map<Integer, EndpointListing> last() {
        Map<Integer, EndpointListing> last = new TreeMap<>();
        atStart.listings().forEach(n -> last.put(n.endpoint(), n));
        for (EndpointListDelivery b : heard) {
            if (b.kind() == EndpointListKind.COMPLETE) {
                last.clear();
            }
            b.listings().forEach(n -> last.put(n.endpoint(), n));
        }
        return last;
    }

    /** Members once told of that a complete list does not name: it says that they are gone. */
    List<Integer> missing(EndpointListDelivery complete) {
        if (complete.kind() == EndpointListKind.CHANGES || complete.kind() == EndpointListKind.FAILED) {
            return List.of();
        }
        Set<Integer> named = new HashSet<>();
        complete.listings().forEach(n -> named.add(n.endpoint()));
        return last().keySet().stream().filter(m -> !named.contains(m)).toList();
    }
}

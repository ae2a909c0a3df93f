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
import tulipshed.emulator.policy.EndpointListing;

/** What a node was told of members, over all its processes. */
final class NotifiedEndpoints {
    private final EndpointListing.Batch atStart;
    private final List<EndpointListing.Batch> heard = new ArrayList<>();
    private final Map<Integer, Double> started = new HashMap<>();
    private int version;

    NotifiedEndpoints(EndpointListing.Batch atStart) {
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
    void hear(EndpointListing.Batch batch, int upTo) {
        version = Math.max(version, upTo);
        if (!batch.news().isEmpty()) {
            heard.add(batch);
        }
    }

    void started(EndpointListing n) {
        long us = n.listed().info().startedUs();
        if (us > 0) {
            started.put(n.member(), us / 1000.0);
        }
    }

    /** When a member started as far as the node knows, in milliseconds; NaN where it is thought warm. */
    double startedMs(int member) {
        return started.getOrDefault(member, Double.NaN);
    }

    /** The list as this node last had it. */
    EndpointListing.Batch remembered() {
        Map<Integer, EndpointListing> last = last();
        last.values().removeIf(n -> n.listed().info().status() == EndpointStatus.REMOVED);
        return new EndpointListing.Batch(EndpointListKind.CACHED, List.copyOf(last.values()));
    }

    private Map<Integer, EndpointListing> last() {
        Map<Integer, EndpointListing> last = new TreeMap<>();
        atStart.news().forEach(n -> last.put(n.member(), n));
        for (EndpointListing.Batch b : heard) {
            if (b.kind() == EndpointListKind.COMPLETE) {
                last.clear();
            }
            b.news().forEach(n -> last.put(n.member(), n));
        }
        return last;
    }

    /** Members once told of that a complete list does not name: it says that they are gone. */
    List<Integer> missing(EndpointListing.Batch complete) {
        if (complete.kind() == EndpointListKind.CHANGES || complete.kind() == EndpointListKind.FAILED) {
            return List.of();
        }
        Set<Integer> named = new HashSet<>();
        complete.news().forEach(n -> named.add(n.member()));
        return last().keySet().stream().filter(m -> !named.contains(m)).toList();
    }
}

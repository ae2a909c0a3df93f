package tulipshed.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

/** What stands in the other process of this node, as the module here knows it: by numbers of this process. */
final class ReplicatedConnections {
    private final Map<Integer, Shadow> byPlace = new HashMap<>();

    private record Shadow(long id, HotRestartPeer.EstablishedConnection standing) {}

    /** Tells what has ended there and what has begun to stand, the latter only at members that are known here. */
    void look(
            Map<Integer, HotRestartPeer.EstablishedConnection> others,
            Predicate<String> known,
            NextId next,
            LongConsumer ended,
            BiConsumer<Long, HotRestartPeer.EstablishedConnection> stands) {
        byPlace.entrySet().removeIf(e -> {
            boolean over = !e.getValue().standing().equals(others.get(e.getKey()));
            if (over) {
                ended.accept(e.getValue().id());
            }
            return over;
        });
        others.forEach((place, there) -> {
            if (!byPlace.containsKey(place) && known.test(there.endpointId())) {
                Shadow shadow = new Shadow(next.next(), there);
                byPlace.put(place, shadow);
                stands.accept(shadow.id(), there);
            }
        });
    }

    /** Where numbers come from. */
    interface NextId {
        long next();
    }
}

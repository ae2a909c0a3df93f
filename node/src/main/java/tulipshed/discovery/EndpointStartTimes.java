package tulipshed.discovery;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.time.Clock;
import tulipshed.time.WallTime;

/**
 * Translates the starts of endpoints, which lists give as wall times of other machines, into the node's own monotonic time.
 * No wall clock of this node is read, and none is compared with another.
 *
 * <ul>
 *   <li>A start that differs from the one listed before, or of an endpoint that was not listed before, counts from the
 *       moment of the list that brings it, whatever its value.
 *   <li>Starts in the first lists, those before this node watched, count by how much they are earlier than a recent start
 *       in the same lists. The clock that stamped them shows that much at least, so an endpoint is no younger than that. To
 *       tolerate clocks that are ahead, the newest eighth of the starts is left out.
 *   <li>The same listed start has the same translation for as long as it is remembered, and another one has another, as the
 *       decision module tells the processes of an endpoint apart by it.
 * </ul>
 *
 * <p>{@code docs/clocks.md} has the reasons. Confined to the event-loop thread.
 */
public final class EndpointStartTimes {
    /** Of the known starts of the first lists, one in this many, and at least one, may be ahead of the others' clocks. */
    private static final int STARTS_PER_OUTLIER = 8;

    /** The translation of {@link ListedEndpoint#LONG_AGO}, which is the decision module's value for it. */
    private static final long LONG_AGO_US = 0;

    /** A hundred years, in milliseconds; more cannot be told from a clock that shows nonsense. */
    private static final double MAX_AGE_MS = 3_155_760_000_000.0;

    private final Clock clock;
    private final Map<String, Start> listed = new HashMap<>();

    /** Starts of endpoints that are not listed any more, in the order of their removal; none is in {@link #listed}. */
    private final Map<String, Start> removed = new LinkedHashMap<>();

    private int mostListed;
    private boolean watching;

    /** A listed start and its translation. */
    private record Start(WallTime listed, long startedUs) {}

    /** A translation that knows no endpoint yet; {@code clock} is the one of the core. */
    public EndpointStartTimes(Clock clock) {
        this.clock = clock;
    }

    /** Translates the entries of a list that arrives now. Every list of the node passes here once, in their order. */
    public List<EndpointListEntry> translate(EndpointListKind kind, List<ListedEndpoint> entries) {
        double nowMs = clock.nowMs();
        Optional<WallTime> reference = watching ? Optional.empty() : reference(entries);
        watching |= kind == EndpointListKind.COMPLETE || kind == EndpointListKind.CHANGES;
        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.CACHED) {
            removeUnlisted(entries);
        }
        return entries.stream()
                .map(entry -> entry.withStart(startedUs(entry, reference, nowMs)))
                .toList();
    }

    private long startedUs(ListedEndpoint entry, Optional<WallTime> reference, double nowMs) {
        if (entry.status() == EndpointStatus.REMOVED) {
            remove(entry.id());
            return LONG_AGO_US;
        }
        Start known = known(entry.id());
        Start start = known != null && known.listed().equals(entry.started())
                ? known
                : new Start(entry.started(), translated(entry, known, ageMs(entry, reference), nowMs));
        removed.remove(entry.id());
        listed.put(entry.id(), start);
        mostListed = Math.max(mostListed, listed.size());
        return start.startedUs();
    }

    /** How old an entry with a start that is not remembered is at least; 0 where its start was seen to happen. */
    private static double ageMs(ListedEndpoint entry, Optional<WallTime> reference) {
        double ageMs =
                reference.map(recent -> recent.millisAfter(entry.started())).orElse(0.0);
        return Math.min(MAX_AGE_MS, Math.max(0, ageMs));
    }

    private static long translated(ListedEndpoint entry, Start known, double ageMs, double nowMs) {
        if (!entry.isStartKnown()) {
            return LONG_AGO_US;
        }
        long startedUs = Clock.toMicros(nowMs - ageMs);
        boolean isTaken = startedUs == LONG_AGO_US || (known != null && known.startedUs() == startedUs);
        return isTaken ? startedUs + 1 : startedUs;
    }

    /** The newest start of the list and of what is listed already, without those that may be ahead; empty for none. */
    private Optional<WallTime> reference(List<ListedEndpoint> entries) {
        Map<String, WallTime> starts = new HashMap<>();
        listed.forEach((id, start) -> starts.put(id, start.listed()));
        entries.stream()
                .filter(entry -> entry.status() != EndpointStatus.REMOVED)
                .forEach(entry -> starts.put(entry.id(), entry.started()));
        starts.values().removeIf(ListedEndpoint.LONG_AGO::equals);
        int outliers = (starts.size() + STARTS_PER_OUTLIER - 1) / STARTS_PER_OUTLIER;
        return starts.values().stream()
                .sorted(Comparator.comparingLong(WallTime::epochMs).reversed())
                .skip(outliers)
                .findFirst();
    }

    private Start known(String id) {
        Start start = listed.get(id);
        return start == null ? removed.get(id) : start;
    }

    private void removeUnlisted(List<ListedEndpoint> entries) {
        Set<String> named = new HashSet<>();
        entries.forEach(entry -> named.add(entry.id()));
        listed.keySet().stream()
                .filter(id -> !named.contains(id))
                .sorted()
                .toList()
                .forEach(this::remove);
    }

    /** Keeps as many removed endpoints as were ever listed at a time, so that a list that was empty once forgets none. */
    private void remove(String id) {
        Start start = listed.remove(id);
        if (start != null) {
            removed.put(id, start);
        }
        if (removed.size() > mostListed) {
            removed.remove(removed.keySet().iterator().next());
        }
    }

    /** How many endpoints are remembered, for tests. */
    int rememberedCount() {
        return listed.size() + removed.size();
    }
}

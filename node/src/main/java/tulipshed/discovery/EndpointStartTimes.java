package tulipshed.discovery;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.time.Clock;
import tulipshed.time.WallTime;

/**
 * Translates the start times of endpoints, which lists give as wall-clock times of other machines, into the node's monotonic
 * time. The wall clock of this node is never read.
 *
 * <ul>
 *   <li>{@link ListedEndpoint#LONG_AGO} always becomes 0. The other rules apply to all other starts.
 *   <li>After the first list of a watch, a listed start that is new, for a known or a new endpoint, is translated to the
 *       arrival time of the list that contains it, whatever its value.
 *   <li>Up to the first list of a watch, the age of an endpoint is the difference between its start and a reference,
 *       the newest start in the lists so far. The endpoint is at least that old. To tolerate clocks that are ahead, the
 *       newest eighth of the starts, rounded up, is excluded from the reference.
 *   <li>An unchanged listed start keeps its translation for as long as it is remembered, and a changed one gets a different
 *       translation, as the decision module distinguishes the processes of an endpoint by it.
 * </ul>
 *
 * <p>{@code docs/clocks.md} has the reasons. Confined to the event-loop thread.
 */
public final class EndpointStartTimes {
    /**
     * Up to the first list of a watch, one in this many known starts, and at least one, may be from a clock that is
     * ahead.
     */
    private static final int STARTS_PER_OUTLIER = 8;

    /** Translation of {@link ListedEndpoint#LONG_AGO}, with the same meaning in the decision module. */
    private static final long LONG_AGO_US = 0;

    /** 100 years; a greater age can only come from a clock that was never set. */
    private static final double MAX_AGE_MS = 3_155_760_000_000.0;

    private final Clock clock;
    private final StartTranslations translations = new StartTranslations();

    /** Whether a list of a watch has arrived. Starts that are new after that have just happened. */
    private boolean isWatching;

    /** Creates a translator without known endpoints; {@code clock} is the monotonic clock of the core. */
    public EndpointStartTimes(Clock clock) {
        this.clock = clock;
    }

    /**
     * Translates the entries of a list that has just arrived. Must be called once for every list of the node, in their
     * order.
     */
    public List<EndpointListEntry> translate(EndpointListKind kind, List<ListedEndpoint> entries) {
        double nowMs = clock.nowMs();
        Optional<WallTime> reference = isWatching ? Optional.empty() : referenceStart(entries);
        isWatching |= kind == EndpointListKind.COMPLETE || kind == EndpointListKind.CHANGES;
        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.CACHED) {
            translations.removeUnlisted(entries);
        }
        return entries.stream()
                .map(entry -> entry.withStart(startedUs(entry, reference, nowMs)))
                .toList();
    }

    private long startedUs(ListedEndpoint entry, Optional<WallTime> reference, double nowMs) {
        if (entry.status() == EndpointStatus.REMOVED) {
            translations.remove(entry.id());
            return LONG_AGO_US;
        }
        StartTranslation previous = translations.get(entry.id());
        StartTranslation current = previous != null && previous.listedStart().equals(entry.started())
                ? previous
                : new StartTranslation(entry.started(), translate(entry, previous, ageMs(entry, reference), nowMs));
        translations.put(entry.id(), current);
        return current.startedUs();
    }

    /** Minimum age of an entry with a new start, in milliseconds; 0 without a reference. */
    private static double ageMs(ListedEndpoint entry, Optional<WallTime> reference) {
        double ageMs = reference
                .map(recentStart -> recentStart.millisAfter(entry.started()))
                .orElse(0.0);
        return Math.min(MAX_AGE_MS, Math.max(0, ageMs));
    }

    private static long translate(ListedEndpoint entry, StartTranslation previous, double ageMs, double nowMs) {
        if (!entry.isStartKnown()) {
            return LONG_AGO_US;
        }
        long startedUs = Clock.toMicros(nowMs - ageMs);
        boolean isInUse = startedUs == LONG_AGO_US || (previous != null && previous.startedUs() == startedUs);
        return isInUse ? startedUs + 1 : startedUs;
    }

    /**
     * Newest start of this list and of the listed endpoints, apart from those excluded as outliers; empty if there is
     * none.
     */
    private Optional<WallTime> referenceStart(List<ListedEndpoint> entries) {
        Map<String, WallTime> starts = translations.listedStarts();
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

    /** Number of endpoints remembered, for tests. */
    int rememberedCount() {
        return translations.size();
    }
}

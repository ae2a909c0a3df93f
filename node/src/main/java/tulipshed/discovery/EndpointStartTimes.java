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
 * Translates the starts of endpoints, which lists give as wall times of other machines, into the node's monotonic time. No
 * wall clock of this node is read.
 *
 * <ul>
 *   <li>Once the node watches, a listed start that is new to it, for a known endpoint or a new one, is translated to the
 *       moment of the list that brings it, whatever its value.
 *   <li>In the first lists, those before the node watched, the age of an endpoint is the difference between its start and a
 *       reference: the newest start in the same lists. The endpoint is at least that old. To tolerate clocks that are ahead,
 *       the newest eighth of the starts is left out.
 *   <li>The same listed start has the same translation for as long as it is remembered, and a different one has a different
 *       one, as the decision module distinguishes the processes of an endpoint by it.
 * </ul>
 *
 * <p>{@code docs/clocks.md} has the reasons. Confined to the event-loop thread.
 */
public final class EndpointStartTimes {
    /** Of the known starts of the first lists, one in this many, and at least one, may be ahead of the others' clocks. */
    private static final int STARTS_PER_OUTLIER = 8;

    /** The translation of {@link ListedEndpoint#LONG_AGO}, which is the decision module's value for it. */
    private static final long LONG_AGO_US = 0;

    /** A hundred years: a greater age is that of a clock that was never set. */
    private static final double MAX_AGE_MS = 3_155_760_000_000.0;

    private final Clock clock;
    private final StartTranslations translations = new StartTranslations();

    /** Whether a list of a watch has arrived: starts that are new from then on have just happened. */
    private boolean isWatching;

    /** A translation that knows no endpoint yet; {@code clock} is the one of the core. */
    public EndpointStartTimes(Clock clock) {
        this.clock = clock;
    }

    /** Translates the entries of a list that arrives now. Every list of the node passes here once, in their order. */
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

    /** The least age of an entry with a start that is new, in milliseconds; 0 where there is no reference. */
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
        boolean isTaken = startedUs == LONG_AGO_US || (previous != null && previous.startedUs() == startedUs);
        return isTaken ? startedUs + 1 : startedUs;
    }

    /** The newest start of this list and of the listed endpoints, without those that may be ahead; empty for none. */
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

    /** How many endpoints are remembered, for tests. */
    int rememberedCount() {
        return translations.size();
    }
}

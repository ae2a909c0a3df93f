package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.time.Clock;
import tulipshed.time.ManualClock;
import tulipshed.time.ManualWallClock;
import tulipshed.time.WallTime;

/** Endpoint ages computed by a node, independent of the wall clocks that the listed starts come from. */
class EndpointStartTimesTest {
    private static final long MINUTE_MS = 60_000;
    private static final long HOUR_MS = 60 * MINUTE_MS;
    private static final WallTime NOON = new WallTime(1_800_000_000_000L);

    private final ManualClock clock = new ManualClock(1e9);
    private final EndpointStartTimes times = new EndpointStartTimes(clock);

    /** Wall clock of the machine that sets the listed starts: discovery or the endpoints. */
    private final ManualWallClock listClock = new ManualWallClock(NOON);

    private void advance(long ms) {
        clock.advance(ms);
        listClock.step(ms);
    }

    private ListedEndpoint startedNow(int i) {
        return startedBefore(i, 0);
    }

    /** Returns an endpoint that started {@code ms} milliseconds ago by {@link #listClock}. */
    private ListedEndpoint startedBefore(int i, long ms) {
        return entry(i, EndpointStatus.SERVING, new WallTime(listClock.now().epochMs() - ms));
    }

    private static ListedEndpoint entry(int i, EndpointStatus status, WallTime started) {
        return new ListedEndpoint("s-" + i, status, "a", 0, "m", 1, started, null);
    }

    /** Returns ten endpoints, one started every minute, the last one now. */
    private List<ListedEndpoint> startedEveryMinute() {
        return IntStream.range(0, 10)
                .mapToObj(i -> startedBefore(i, (9 - i) * MINUTE_MS))
                .toList();
    }

    private static List<Long> agesMs(
            EndpointStartTimes times, Clock clock, EndpointListKind kind, List<ListedEndpoint> entries) {
        return times.translate(kind, entries).stream()
                .map(entry ->
                        Math.round(clock.nowMs() - Clock.toMillis(entry.info().startedUs())))
                .toList();
    }

    private long ageMs(EndpointListKind kind, ListedEndpoint entry) {
        return agesMs(times, clock, kind, List.of(entry)).get(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {3_000, -3_000, HOUR_MS, -HOUR_MS})
    void startSeenByWatchCountsFromItsNotificationWhateverItsClockShows(long stepMs) {
        times.translate(EndpointListKind.COMPLETE, startedEveryMinute());
        advance(10_000);
        listClock.step(stepMs);
        assertEquals(0, ageMs(EndpointListKind.CHANGES, startedNow(3)));
        assertEquals(0, ageMs(EndpointListKind.CHANGES, startedNow(20)), "a new endpoint");
        advance(5_000);
        listClock.step(-stepMs);
        assertEquals(0, ageMs(EndpointListKind.CHANGES, startedNow(3)), "after the step back");
    }

    @ParameterizedTest
    @ValueSource(longs = {3_000, -3_000, HOUR_MS, -HOUR_MS})
    void stepBetweenTwoListsChangesNoKnownAge(long stepMs) {
        List<ListedEndpoint> first = startedEveryMinute();
        List<Long> agesMs = agesMs(times, clock, EndpointListKind.COMPLETE, first);
        advance(10_000);
        listClock.step(stepMs);
        List<ListedEndpoint> second = new ArrayList<>(first);
        second.set(0, startedNow(0));
        List<Long> laterMs = agesMs(times, clock, EndpointListKind.COMPLETE, second);
        assertEquals(0, laterMs.get(0));
        for (int i = 1; i < first.size(); i++) {
            assertEquals(agesMs.get(i) + 10_000, laterMs.get(i));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {3_000, -3_000, HOUR_MS, -HOUR_MS})
    void stepBeforeTheStartChangesNoAgeOfTheFirstList(long stepMs) {
        listClock.step(stepMs);
        assertEquals(
                List.of(
                        7 * MINUTE_MS,
                        6 * MINUTE_MS,
                        5 * MINUTE_MS,
                        4 * MINUTE_MS,
                        3 * MINUTE_MS,
                        2 * MINUTE_MS,
                        MINUTE_MS,
                        0L,
                        0L,
                        0L),
                agesMs(times, clock, EndpointListKind.CACHED, startedEveryMinute()));
    }

    /**
     * In a hot restart, the two processes of a node have monotonic clocks with different origins.
     */
    @ParameterizedTest
    @ValueSource(longs = {3_000, -3_000, HOUR_MS, -HOUR_MS})
    void bothProcessesOfANodeSeeTheSameAges(long stepMs) {
        ManualClock otherClock = new ManualClock(1e9 + stepMs);
        EndpointStartTimes other = new EndpointStartTimes(otherClock);
        List<ListedEndpoint> first = startedEveryMinute();
        assertEquals(
                agesMs(times, clock, EndpointListKind.COMPLETE, first),
                agesMs(other, otherClock, EndpointListKind.COMPLETE, first));
        advance(10_000);
        otherClock.advance(10_000);
        List<ListedEndpoint> second = List.of(startedNow(4), first.get(1));
        assertEquals(
                agesMs(times, clock, EndpointListKind.CHANGES, second),
                agesMs(other, otherClock, EndpointListKind.CHANGES, second));
    }

    @Test
    void endpointsWithClocksAheadMakeNoOthersLookOlder() {
        List<ListedEndpoint> first = new ArrayList<>(startedEveryMinute());
        first.set(4, startedBefore(4, -HOUR_MS));
        first.set(5, startedBefore(5, -HOUR_MS));
        List<Long> agesMs = agesMs(times, clock, EndpointListKind.COMPLETE, first);
        assertEquals(List.of(9 * MINUTE_MS, 8 * MINUTE_MS), agesMs.subList(0, 2));
        assertEquals(List.of(0L, 0L), agesMs.subList(4, 6));
    }

    /** The first list from discovery may contain only changes; the cached list then provides the reference. */
    @Test
    void firstChangesAreComparedWithTheCachedList() {
        List<ListedEndpoint> cached = startedEveryMinute();
        times.translate(EndpointListKind.CACHED, cached);
        advance(HOUR_MS);
        assertEquals(
                5 * MINUTE_MS,
                ageMs(
                        EndpointListKind.CHANGES,
                        entry(
                                20,
                                EndpointStatus.SERVING,
                                new WallTime(cached.get(7).started().epochMs() - 5 * MINUTE_MS))));
        assertEquals(
                0,
                ageMs(EndpointListKind.CHANGES, startedBefore(21, 5 * MINUTE_MS)),
                "after the first list of the watch");
    }

    @Test
    void longAgoIsKeptAndIsNoReference() {
        assertEquals(
                0,
                times.translate(
                                EndpointListKind.CACHED,
                                List.of(entry(1, EndpointStatus.SERVING, ListedEndpoint.LONG_AGO)))
                        .get(0)
                        .info()
                        .startedUs());
        assertEquals(
                0, ageMs(EndpointListKind.COMPLETE, startedBefore(2, HOUR_MS)), "no reference shows that it is older");
    }

    /** The decision module distinguishes the processes of an endpoint by their starts. */
    @Test
    void sameListedStartHasSameTranslationAndAnotherHasAnother() {
        long first = startedUs(startedNow(1));
        assertEquals(first, startedUs(startedNow(1)));
        listClock.step(1);
        assertNotEquals(first, startedUs(startedNow(1)), "at the same monotonic time");
    }

    private long startedUs(ListedEndpoint entry) {
        return times.translate(EndpointListKind.COMPLETE, List.of(entry))
                .get(0)
                .info()
                .startedUs();
    }

    @Test
    void anEndpointThatReturnsWithItsStartKeepsItsAge() {
        List<ListedEndpoint> first = startedEveryMinute();
        times.translate(EndpointListKind.COMPLETE, first);
        advance(10_000);
        times.translate(EndpointListKind.COMPLETE, List.of());
        assertEquals(9 * MINUTE_MS - 2 * MINUTE_MS + 10_000, ageMs(EndpointListKind.CHANGES, first.get(0)));
        times.translate(EndpointListKind.CHANGES, List.of(entry(0, EndpointStatus.REMOVED, ListedEndpoint.LONG_AGO)));
        assertEquals(9 * MINUTE_MS - 2 * MINUTE_MS + 10_000, ageMs(EndpointListKind.CHANGES, first.get(0)));
    }

    @Test
    void remembersNoMoreRemovedEndpointsThanWereListedAtATime() {
        for (int i = 0; i < 1_000; i++) {
            times.translate(EndpointListKind.COMPLETE, List.of(startedNow(2 * i), startedNow(2 * i + 1)));
            assertTrue(times.rememberedCount() <= 4);
            times.translate(
                    EndpointListKind.CHANGES, List.of(entry(2 * i, EndpointStatus.REMOVED, ListedEndpoint.LONG_AGO)));
            assertTrue(times.rememberedCount() <= 4);
        }
    }

    /** All starts come from one clock with a random offset and without steps; lists after the cached one are full or changes. */
    @Property(tries = 300, seed = "31")
    void noEndpointLooksOlderThanItIsNorYoungerThanItsNotification(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ManualClock nodeClock = new ManualClock(1e9);
        EndpointStartTimes nodeTimes = new EndpointStartTimes(nodeClock);
        long offsetMs = random.nextLong(-HOUR_MS, HOUR_MS);
        Map<String, Double> startedMs = new HashMap<>();
        Map<String, Double> notifiedMs = new HashMap<>();
        for (int list = 0; list < 10; list++) {
            List<ListedEndpoint> entries = new ArrayList<>();
            int listedCount = random.nextInt(1, 20);
            for (int i = 0; i < listedCount; i++) {
                String id = "s-" + i;
                if (!startedMs.containsKey(id) || random.nextInt(4) == 0) {
                    startedMs.put(id, Math.rint(nodeClock.nowMs() - random.nextInt((int) (list == 0 ? HOUR_MS : 500))));
                    notifiedMs.put(id, nodeClock.nowMs());
                }
                entries.add(entry(
                        i,
                        EndpointStatus.SERVING,
                        new WallTime(startedMs.get(id).longValue() + NOON.epochMs() + offsetMs)));
            }
            EndpointListKind kind = list == 0
                    ? EndpointListKind.CACHED
                    : random.nextBoolean() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES;
            nodeTimes.translate(kind, entries).forEach(translated -> {
                double seenMs = Clock.toMillis(translated.info().startedUs());
                assertTrue(seenMs >= startedMs.get(translated.info().id()) - 0.01, "older than its real age");
                assertTrue(
                        seenMs <= notifiedMs.get(translated.info().id()) + 0.01,
                        "younger than the list that reported it");
            });
            nodeClock.advance(random.nextInt(1_000));
        }
    }
}

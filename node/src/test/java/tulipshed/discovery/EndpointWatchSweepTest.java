package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;

/**
 * Sweep over random faults between discovery and the node, in random order and at random times: each change must be
 * known within 6 s.
 */
class EndpointWatchSweepTest {
    private static final int RUNS = 10_000;
    private static final double RUN_MS = 90_000;
    private static final double MEAN_CHANGE_INTERVAL_MS = 1500;
    private static final double ALLOWED_MS = 6000;

    /** Pauses of the decision module after a failure, which DiscoveryPollingTest checks. */
    private static final double MIN_PAUSE_MS = 650;

    private static final double MAX_PAUSE_MS = 1950;
    private static final double MAX_FIRST_POLL_MS = 4000;
    private static final Limits LIMITS = Limits.forDescriptors(1024);

    /** A node process with its watch, which records when it knew of each version. */
    private static final class WatchingNode {
        private final SteppedLoop loop = new SteppedLoop();
        private final SplittableRandom random;
        private final FaultyDiscovery discovery;
        private final EndpointWatch watch;
        private final List<Double> knownAtMs = new ArrayList<>();
        private double lastListMs;

        WatchingNode(long seed, List<FaultyDiscovery.Fault> faults) {
            random = new SplittableRandom(seed);
            discovery = new FaultyDiscovery(loop, LIMITS.discovery(), random, faults);
            watch = new EndpointWatch(
                    discovery::notifying, LIMITS, loop, (kind, entries) -> received(kind), loop, NodeLog.silent());
        }

        /** An update contains all changes up to now, as the content of a response is read when it is sent. */
        private void received(EndpointListKind kind) {
            if (kind == EndpointListKind.FAILED) {
                double pauseMs = MIN_PAUSE_MS + random.nextDouble() * (MAX_PAUSE_MS - MIN_PAUSE_MS);
                loop.schedule(pauseMs, watch::watch);
                return;
            }
            while (knownAtMs.size() < discovery.changesMs().size()) {
                knownAtMs.add(loop.nowMs());
            }
            lastListMs = loop.nowMs();
        }

        private void simulate() {
            for (double atMs = 0; atMs < RUN_MS; atMs += 2 * MEAN_CHANGE_INTERVAL_MS * random.nextDouble()) {
                discovery.changeAt(atMs);
            }
            scheduleOutages();
            scheduleRestartsAndReloads();
            watch.requestInitialList();
            watch.setPushed(false);
            loop.schedule(MAX_FIRST_POLL_MS * random.nextDouble(), watch::watch);
            loop.runUntil(RUN_MS);
        }

        private void scheduleOutages() {
            double atMs = 0;
            while (atMs < RUN_MS) {
                double fromMs = atMs + RUN_MS / 3 * random.nextDouble();
                atMs = fromMs + 8000 * random.nextDouble();
                discovery.addOutage(new FaultyDiscovery.Outage(fromMs, atMs, random.nextBoolean()));
            }
        }

        /**
         * Schedules calls to catch up with a newer list of the other process of a hot restart, and reloads that change
         * the address of discovery.
         */
        private void scheduleRestartsAndReloads() {
            for (int i = 0; i < random.nextInt(4); i++) {
                loop.schedule(RUN_MS * random.nextDouble(), watch::catchUp);
            }
            for (int i = 0; i < random.nextInt(3); i++) {
                InetSocketAddress other = InetSocketAddress.createUnresolved("discovery", 2 + i);
                loop.schedule(RUN_MS * random.nextDouble(), () -> watch.setDiscoveryAddress(other));
            }
        }

        /** Returns a description of the first change that was not known in time, or nothing. */
        private List<String> lateChange(long seed) {
            for (int i = 0; i < discovery.changesMs().size(); i++) {
                double changedMs = discovery.changesMs().get(i);
                double dueMs = discovery.dueMs(changedMs, ALLOWED_MS);
                double knownMs = i < knownAtMs.size() ? knownAtMs.get(i) : Double.POSITIVE_INFINITY;
                if (dueMs < RUN_MS && knownMs > dueMs) {
                    return List.of(String.format(
                            "seed %d: changed at %.0f ms, known at %.0f, due at %.0f; calls: %s",
                            seed, changedMs, knownMs, dueMs, discovery.history()));
                }
            }
            return List.of();
        }
    }

    private static void assertKnownInTime(List<FaultyDiscovery.Fault> faults) {
        List<String> lateChanges = new ArrayList<>();
        for (long seed = 1; seed <= RUNS; seed++) {
            WatchingNode node = new WatchingNode(seed, faults);
            node.simulate();
            assertTrue(node.lastListMs > 0, "a run without a list checks nothing");
            lateChanges.addAll(node.lateChange(seed));
        }
        assertEquals(
                List.of(), lateChanges.subList(0, Math.min(1, lateChanges.size())), () -> lateChanges.size() + " runs");
    }

    /**
     * Changes are known in time although an overloaded discovery responds late, or refuses two calls in a row at once.
     */
    @Test
    void changesAreKnownInTimeThroughRefusedAndSlowCalls() {
        assertKnownInTime(List.of(FaultyDiscovery.Fault.REFUSED, FaultyDiscovery.Fault.SLOW));
    }

    /** Two failed calls in a row, of any kind and with a pause after each, can take more than 6 s. */
    @Test
    @Tag("known-red")
    void changesAreKnownInTimeWhateverFails() {
        assertKnownInTime(List.of(FaultyDiscovery.Fault.values()));
    }
}

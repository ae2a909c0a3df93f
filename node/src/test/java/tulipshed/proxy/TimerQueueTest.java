package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class TimerQueueTest {
    /** Every due that is not dropped is looked at, in its order, and what is dropped holds no memory for long. */
    @Property(tries = 200, seed = "95")
    void runsTimersInOrderAndReleasesCancelledOnes(@ForAll long seed) {
        Random random = new Random(seed);
        TimerQueue dues = new TimerQueue();
        TreeMap<Double, List<Integer>> expected = new TreeMap<>();
        List<Integer> seen = new ArrayList<>();
        List<Integer> wanted = new ArrayList<>();
        List<TimerQueue.Timer> made = new ArrayList<>();
        List<Double> times = new ArrayList<>();
        double nowMs = 0;
        int live = 0;
        for (int i = 0; i < 6000; i++) {
            double atMs = nowMs + random.nextInt(1, 100_000);
            int number = i;
            made.add(dues.add(atMs, () -> seen.add(number)));
            times.add(atMs);
            expected.computeIfAbsent(atMs, t -> new ArrayList<>()).add(i);
            live++;
            int other = random.nextInt(made.size());
            if (random.nextInt(20) > 0
                    && times.get(other) > nowMs
                    && expected.get(times.get(other)).remove((Integer) other)) {
                made.get(other).cancel();
                made.get(other).cancel();
                live--;
            }
            if (random.nextInt(100) == 0) {
                nowMs += random.nextInt(3000);
                dues.runExpired(nowMs, Runnable::run);
                while (!expected.isEmpty() && expected.firstKey() <= nowMs) {
                    wanted.addAll(expected.pollFirstEntry().getValue());
                }
                assertEquals(wanted, seen);
                live = expected.values().stream().mapToInt(List::size).sum();
            }
            assertTrue(dues.size() <= 2 * live + 1100, dues.size() + " kept for " + live);
        }
    }
}

package tulipshed.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.limits.WarmupLimits;

class WarmupTest {
    private static final WarmupLimits LIMITS = new WarmupLimits(10, 20, 3, 5, 200);

    private final List<Double> pauses = new ArrayList<>();
    private double nowMs;
    private int burstCount;

    /** Runs a warm-up whose bursts take these durations in milliseconds; the last one repeats. */
    private boolean runWithBursts(double... durationsMs) {
        Iterator<Double> durations = Arrays.stream(durationsMs).iterator();
        double[] lastDurationMs = {0};
        Runnable burst = () -> {
            lastDurationMs[0] = durations.hasNext() ? durations.next() : lastDurationMs[0];
            nowMs += lastDurationMs[0];
            burstCount++;
        };
        return new Warmup(LIMITS, () -> nowMs, this::pause, burst).run();
    }

    private void pause(double ms) {
        pauses.add(ms);
        nowMs += ms;
    }

    @Test
    void endsAfterEnoughBurstsInTime() {
        assertTrue(runWithBursts(30, 20));
        assertEquals(4, burstCount);
        assertEquals(List.of(5.0, 5.0, 5.0), pauses);
    }

    @Test
    void countsOnlyConsecutiveBurstsInTime() {
        assertTrue(runWithBursts(10, 10, 21, 10));
        assertEquals(6, burstCount);
    }

    @Test
    void endsAtTheTimeoutWhenNoBurstIsInTime() {
        assertFalse(runWithBursts(30));
        assertEquals(7, burstCount);
        assertEquals(210, nowMs);
    }
}

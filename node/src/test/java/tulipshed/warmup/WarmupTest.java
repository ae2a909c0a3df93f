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
    private int bursts;

    /** Runs a warm-up whose bursts take these durations in milliseconds; the last one repeats. */
    private boolean runWithBursts(double... burstsMs) {
        Iterator<Double> durations = Arrays.stream(burstsMs).iterator();
        double[] burstMs = {0};
        Runnable burst = () -> {
            burstMs[0] = durations.hasNext() ? durations.next() : burstMs[0];
            nowMs += burstMs[0];
            bursts++;
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
        assertEquals(4, bursts);
        assertEquals(List.of(5.0, 5.0, 5.0), pauses);
    }

    @Test
    void countsOnlyConsecutiveBurstsInTime() {
        assertTrue(runWithBursts(10, 10, 21, 10));
        assertEquals(6, bursts);
    }

    @Test
    void endsAtTheTimeoutWhenNoBurstIsInTime() {
        assertFalse(runWithBursts(30));
        assertEquals(7, bursts);
        assertEquals(210, nowMs);
    }
}

package tulipshed.time;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SystemClockTest {
    /** Regression: the origin of the clock was the wall clock of the machine, which may be wrong by hours. */
    @Test
    void startsAtItsOwnOriginAndNeverGoesBack() {
        SystemClock clock = new SystemClock();
        double lastMs = clock.nowMs();
        assertTrue(lastMs >= SystemClock.ORIGIN_MS && lastMs < SystemClock.ORIGIN_MS + 60_000);
        for (int i = 0; i < 1_000; i++) {
            double nowMs = clock.nowMs();
            assertTrue(nowMs >= lastMs);
            lastMs = nowMs;
        }
    }
}

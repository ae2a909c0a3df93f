package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests of a timeout of 100 ms that becomes 200 ms after one expiry and at most 400 ms. */
class AdaptiveTimeoutTest {
    private final AdaptiveTimeout timeout = new AdaptiveTimeout(100, 200, 400);

    @Test
    void becomesLongerWithEachExpiryUpToTheMaximum() {
        timeout.expired();
        assertEquals(200, timeout.currentMs());
        timeout.expired();
        assertEquals(400, timeout.currentMs());
        timeout.expired();
        assertEquals(400, timeout.currentMs());
    }

    @Test
    void exceedsALateStepByAMarginAndReturnsAfterOneInTime() {
        timeout.completed(160);
        assertEquals(200, timeout.currentMs());
        timeout.completed(1000);
        assertEquals(400, timeout.currentMs());
        timeout.completed(100);
        assertEquals(100, timeout.currentMs());
    }

    @Test
    void staysUnchangedIfItFitsSomePossibleTime() {
        timeout.completed(160);
        timeout.completed(10, 200);
        assertEquals(200, timeout.currentMs());
        timeout.completed(10, 90);
        assertEquals(100, timeout.currentMs());
        timeout.completed(120, 200);
        assertEquals(150, timeout.currentMs());
    }
}

package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Timeouts of attempts, and whether the request may have executed after them. */
class AttemptTimeoutTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void connectTimeoutCountsAsNeverExecuted() {
        fixture.startAttempt(2000);
        fixture.advance(249);
        assertEquals(List.of(), fixture.takeRecorded());
        fixture.advance(2);
        assertEquals(List.of("abandon", "ended 0 CONNECT_FAILED"), fixture.takeRecorded());
    }

    @Test
    void timesOutShortlyBeforeClientDeadlineAndKeepsRequestPending() {
        Attempt attempt = fixture.startAttempt(2000);
        assertTrue(fixture.core.mayForward(attempt));
        fixture.advance(1950);
        assertEquals(List.of(), fixture.takeRecorded());
        // The response margin before the client's deadline lets the response arrive in time.
        fixture.advance(11);
        assertEquals(List.of("abandon", "ended 0 TIMEOUT"), fixture.takeRecorded());
        assertFalse(fixture.core.attemptEstablished(attempt), "a response after the timeout is not relayed");
    }

    /** An attempt that never connected was not executed, even if it times out before the connect timeout. */
    @Test
    void timeoutBeforeConnectCountsAsNeverExecuted() {
        ProxyCoreFixture fixture = ProxyCoreFixture.nonIdempotent();
        fixture.startAttempt(150);
        fixture.advance(111);
        assertEquals(List.of("abandon", "ended 0 CONNECT_FAILED"), fixture.takeRecorded());
    }
}

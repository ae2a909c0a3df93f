package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Outcome;

/** Start and forwarding of attempts. */
class AttemptManagerTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void allowsOneAttemptAtATime() {
        fixture.startAttempt(2000);
        fixture.decisions.startAttempt(fixture.balancer.lastRequestId, "s-1", 0);
        fixture.core.runBatch();
        assertEquals(List.of("finished 1 UNUSED"), fixture.takeRecorded());
    }

    /** An endpoint can start to drain while the connection is made. */
    @Test
    void forwardsNothingToEndpointThatStartedDraining() {
        Attempt attempt = fixture.startAttempt(2000);
        fixture.updateEndpoint("s-1", EndpointStatus.DRAINING);
        assertFalse(fixture.core.mayForward(attempt));
        fixture.core.attemptEnded(attempt, Outcome.CONNECT_FAILED);
        fixture.decisions.startAttempt(fixture.balancer.lastRequestId, "s-1", 0);
        assertEquals(
                List.of("list CHANGES", "finished 0 CONNECT_FAILED", "finished 1 CONNECT_FAILED"),
                fixture.takeRecorded());
    }

    /** The event loop was busy when the attempt's time ended, so that its timer comes after its connection. */
    @Test
    void doesNotForwardAttemptWhoseTimeHasPassed() {
        Attempt attempt = fixture.startAttempt(2000);
        fixture.clock.advance(1961);
        assertFalse(fixture.core.mayForward(attempt));
        assertEquals("finished 0 UNUSED", fixture.takeRecorded().get(0), "before the request is found to be undecided");
    }

    /** The decision came in time, but the request would be sent too late. */
    @Test
    void doesNotForwardRetryAfterDeduplicationWindow() {
        ProxyCoreFixture fixture = new ProxyCoreFixture(
                "\"Effect\": \"repeatable\",\n    \"Group\": \"all\",\n    \"HardLimitS\": 4.8,\n"
                        + "    \"LateWorth\": 0.0,\n    \"Name\": \"slot-board\",\n    \"RepeatWindowS\": 5.0",
                "\"Effect\": \"by_key\",\n    \"Group\": \"all\",\n    \"HardLimitS\": 4.8,\n"
                        + "    \"LateWorth\": 0.0,\n    \"Name\": \"slot-board\",\n    \"RepeatWindowS\": 0.2");
        Attempt first = fixture.startAttempt(2000);
        assertTrue(fixture.core.mayForward(first));
        fixture.advance(100);
        fixture.core.attemptEnded(first, Outcome.RESET);
        fixture.decisions.startAttempt(fixture.balancer.lastRequestId, "s-1", 0);
        fixture.core.runBatch();
        fixture.takeRecorded();
        Attempt late = fixture.attempts.get(fixture.attempts.size() - 1);
        fixture.advance(98);
        assertTrue(fixture.core.mayForward(late), "just in time");
        fixture.advance(3);
        assertFalse(fixture.core.mayForward(late));
        assertEquals(List.of("finished 1 UNUSED"), fixture.takeRecorded(), "which does not count against the endpoint");
    }
}

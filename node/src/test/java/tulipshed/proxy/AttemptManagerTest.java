package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Outcome;

/** The start and forwarding of attempts. */
class AttemptManagerTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void allowsOneAttemptAtATime() {
        fixture.startAttempt(2000);
        fixture.decisions.startAttempt(fixture.balancer.lastRequestId, "s-1", 0);
        fixture.core.runBatch();
        assertEquals(List.of("ended 1 UNUSED"), fixture.takeRecorded());
    }

    /** An endpoint can start draining while the attempt connects. */
    @Test
    void forwardsNothingToEndpointThatStartedDraining() {
        Attempt attempt = fixture.startAttempt(2000);
        fixture.updateEndpoint("s-1", EndpointStatus.DRAINING);
        assertFalse(fixture.core.mayForward(attempt));
        fixture.core.attemptEnded(attempt, Outcome.CONNECT_FAILED);
        fixture.decisions.startAttempt(fixture.balancer.lastRequestId, "s-1", 0);
        assertEquals(
                List.of("endpoints CHANGES", "ended 0 CONNECT_FAILED", "ended 1 CONNECT_FAILED"),
                fixture.takeRecorded());
    }

    /**
     * Guards against forwarding after the timeout: a busy event loop may process the connect event before the expired timer.
     */
    @Test
    void doesNotForwardAttemptWhoseTimeHasPassed() {
        Attempt attempt = fixture.startAttempt(2000);
        fixture.clock.advance(1961);
        assertFalse(fixture.core.mayForward(attempt));
        assertEquals(
                "ended 0 UNUSED",
                fixture.takeRecorded().get(0),
                "the attempt ends before the missing decision is detected");
    }

    /** The retry is decided within the deduplication window, but its connection is up only after the window. */
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
        assertTrue(fixture.core.mayForward(late), "still within the window");
        fixture.advance(3);
        assertFalse(fixture.core.mayForward(late));
        assertEquals(List.of("ended 1 UNUSED"), fixture.takeRecorded(), "UNUSED does not count against the endpoint");
    }
}

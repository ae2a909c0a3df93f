package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.api.Outcome;

/** The one final response of each request. */
class RequestLifecycleTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void sendsFinalResponseOnlyOnce() {
        fixture.requestArrives(2000);
        fixture.runReadyTasks();
        fixture.decisions.reject(1, 250_000);
        fixture.decisions.reject(1, 250_000);
        fixture.decisions.fail(1);
        fixture.core.runBatch();
        assertEquals(List.of("request 2000", "client: reject 250.0"), fixture.takeRecorded());
    }

    @Test
    void failsRequestWithoutDecisionAtItsDeadline() {
        fixture.requestArrives(300);
        fixture.advance(300);
        List<String> recorded = fixture.takeRecorded();
        assertEquals(
                1, recorded.stream().filter(line -> line.startsWith("client:")).count(), recorded.toString());
        assertEquals("abandoned", recorded.get(recorded.size() - 1));
    }

    @Test
    void cancelsAttemptWhenClientDisconnects() {
        Attempt attempt = fixture.startAttempt(2000);
        fixture.core.clientDisconnected(attempt.request());
        assertEquals(List.of("abandoned", "give up", "finished 0 CANCELLED concluded"), fixture.takeRecorded());
        assertFalse(fixture.core.attemptEstablished(attempt));
    }

    /** Otherwise the decision module would count the attempt at its endpoint for ever. */
    @Test
    void reportsAttemptAsUnusedWhenClientDisconnectedBeforeItsStart() {
        Request request = fixture.requestArrives(2000);
        fixture.core.clientDisconnected(request);
        fixture.decisions.startAttempt(1, "s-1", 0);
        fixture.core.runBatch();
        assertEquals(List.of("request 2000", "abandoned", "finished 0 UNUSED concluded"), fixture.takeRecorded());
    }

    /** The last attempt ends just as a missing decision would be noticed. */
    @Test
    void failsRequestWithoutDecisionAfterItsLastAttempt() {
        assertTrue(fixture.core.mayForward(fixture.startAttempt(300)));
        fixture.advance(299);
        assertEquals(List.of("give up", "finished 0 TIMEOUT"), fixture.takeRecorded());
        fixture.advance(1);
        assertEquals("client: fail", fixture.takeRecorded().get(1));
    }

    /** The margin for the response leaves no time for an attempt, but the decision module still says what to answer. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 20, 40})
    void leavesResponseToDecisionModuleWhenNoAttemptIsPossible(double timeoutMs) {
        fixture.requestArrives(timeoutMs);
        fixture.decisions.startAttempt(1, "s-1", 0);
        fixture.core.runBatch();
        assertEquals(List.of("request " + (int) timeoutMs, "finished 0 UNUSED"), fixture.takeRecorded());
        fixture.advance(timeoutMs);
        assertEquals("client: fail", fixture.takeRecorded().get(1), "at its deadline at the latest");
    }

    @Test
    void shutdownMigratesEstablishedAndRejectsPending() {
        fixture.core.attemptEstablished(fixture.startAttempt(2000));
        fixture.startAttempt(2000);
        fixture.takeRecorded();
        assertTrue(fixture.core.migrateOldest());
        assertFalse(fixture.core.migrateOldest());
        fixture.core.rejectAllPending();
        assertEquals(
                List.of(
                        "client: move",
                        "client: reject 0.0",
                        "give up",
                        "finished 0 CANCELLED concluded",
                        "finished 0 CANCELLED concluded"),
                fixture.takeRecorded());
    }

    /** BUSY says that a retry is harmless; an open attempt may have executed. */
    @Test
    void shutdownFailsNonIdempotentRequestThatMayHaveExecuted() {
        for (ProxyCoreFixture fixture : List.of(ProxyCoreFixture.nonIdempotent(), ProxyCoreFixture.withKeyPerZone())) {
            Attempt open = fixture.startAttempt(2000);
            assertTrue(fixture.core.mayForward(open));
            fixture.core.rejectAllPending();
            assertEquals(List.of("client: fail", "give up", "finished 0 CANCELLED concluded"), fixture.takeRecorded());
            Attempt ended = fixture.startAttempt(2000);
            assertTrue(fixture.core.mayForward(ended));
            fixture.core.attemptEnded(ended, Outcome.RESET);
            assertEquals(List.of("finished 0 RESET"), fixture.takeRecorded());
            fixture.core.rejectAllPending();
            assertEquals(
                    "client: fail",
                    fixture.takeRecorded().get(0),
                    "an attempt that has ended may have executed as well");
        }
    }

    /** Its class was idempotent when it arrived; under the new settings it is not. */
    @Test
    void requestKeepsItsClassAcrossReconfiguration() {
        Attempt open = fixture.startAttempt(2000);
        assertTrue(fixture.core.mayForward(open));
        fixture.core.reconfigure(ProxyCoreFixture.nonIdempotent().settings);
        fixture.core.rejectAllPending();
        assertEquals("client: reject 0.0", fixture.takeRecorded().get(0));
        Attempt later = fixture.startAttempt(2000);
        assertTrue(fixture.core.mayForward(later));
        fixture.core.rejectAllPending();
        assertEquals("client: fail", fixture.takeRecorded().get(0));
    }

    @Test
    void shutdownRejectsRequestThatNeverExecuted() {
        ProxyCoreFixture fixture = ProxyCoreFixture.nonIdempotent();
        fixture.startAttempt(2000);
        fixture.core.rejectAllPending();
        assertEquals("client: reject 0.0", fixture.takeRecorded().get(0), "its connection is not up yet");
        Attempt full = fixture.startAttempt(2000);
        assertTrue(fixture.core.mayForward(full));
        fixture.core.attemptEnded(full, Outcome.FULL);
        assertEquals(List.of("finished 0 FULL"), fixture.takeRecorded());
        fixture.core.rejectAllPending();
        assertEquals(
                "client: reject 0.0",
                fixture.takeRecorded().get(0),
                "an endpoint that rejects an attempt has not executed it");
    }
}

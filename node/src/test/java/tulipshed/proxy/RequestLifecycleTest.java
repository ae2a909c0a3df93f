package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.api.Outcome;

/** The single final response of each request. */
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
        assertEquals("cancelled", recorded.get(recorded.size() - 1));
    }

    @Test
    void cancelsAttemptWhenClientDisconnects() {
        Attempt attempt = fixture.startAttempt(2000);
        fixture.core.clientDisconnected(attempt.request());
        assertEquals(List.of("cancelled", "abandon", "ended 0 CANCELLED concluded"), fixture.takeRecorded());
        assertFalse(fixture.core.attemptEstablished(attempt));
    }

    /** Without the report, the decision module would count the attempt at its endpoint forever. */
    @Test
    void reportsAttemptAsUnusedWhenClientDisconnectedBeforeItsStart() {
        Request request = fixture.requestArrives(2000);
        fixture.core.clientDisconnected(request);
        fixture.decisions.startAttempt(1, "s-1", 0);
        fixture.core.runBatch();
        assertEquals(List.of("request 2000", "cancelled", "ended 0 UNUSED concluded"), fixture.takeRecorded());
    }

    /** The last attempt times out at the same time as the first check for a missing decision. */
    @Test
    void failsRequestWithoutDecisionAfterItsLastAttempt() {
        assertTrue(fixture.core.mayForward(fixture.startAttempt(300)));
        fixture.advance(299);
        assertEquals(List.of("abandon", "ended 0 TIMEOUT"), fixture.takeRecorded());
        fixture.advance(1);
        assertEquals("client: fail", fixture.takeRecorded().get(1));
    }

    /** The response margin leaves no time for an attempt, but the decision module still decides on the final response. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 20, 40})
    void leavesResponseToDecisionModuleWhenNoAttemptIsPossible(double timeoutMs) {
        fixture.requestArrives(timeoutMs);
        fixture.decisions.startAttempt(1, "s-1", 0);
        fixture.core.runBatch();
        assertEquals(List.of("request " + (int) timeoutMs, "ended 0 UNUSED"), fixture.takeRecorded());
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
                        "client: migrate",
                        "client: reject 0.0",
                        "abandon",
                        "ended 0 CANCELLED concluded",
                        "ended 0 CANCELLED concluded"),
                fixture.takeRecorded());
    }

    /** A rejection promises that a retry is harmless, but an attempt that was forwarded may have been executed. */
    @Test
    void shutdownFailsNonIdempotentRequestThatMayHaveExecuted() {
        for (ProxyCoreFixture fixture : List.of(ProxyCoreFixture.nonIdempotent(), ProxyCoreFixture.withKeyPerZone())) {
            Attempt open = fixture.startAttempt(2000);
            assertTrue(fixture.core.mayForward(open));
            fixture.core.rejectAllPending();
            assertEquals(List.of("client: fail", "abandon", "ended 0 CANCELLED concluded"), fixture.takeRecorded());
            Attempt ended = fixture.startAttempt(2000);
            assertTrue(fixture.core.mayForward(ended));
            fixture.core.attemptEnded(ended, Outcome.RESET);
            assertEquals(List.of("ended 0 RESET"), fixture.takeRecorded());
            fixture.core.rejectAllPending();
            assertEquals(
                    "client: fail",
                    fixture.takeRecorded().get(0),
                    "an attempt that has ended may have executed as well");
        }
    }

    /** The class was idempotent when the request arrived and is not under the new settings. */
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
        assertEquals(List.of("ended 0 FULL"), fixture.takeRecorded());
        fixture.core.rejectAllPending();
        assertEquals(
                "client: reject 0.0",
                fixture.takeRecorded().get(0),
                "an endpoint that rejects an attempt has not executed it");
    }
}

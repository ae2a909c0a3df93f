package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import tulipshed.decision.api.Outcome;

/** The counters of the core. */
class NodeMetricsTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void countsEachFinalResponseOncePerClass() {
        fixture.core.attemptEstablished(fixture.startAttempt(2000));
        fixture.startAttempt(2000);
        assertEquals(2, fixture.core.metrics().activeRequests());
        fixture.decisions.reject(fixture.balancer.lastRequestId, 0);
        fixture.decisions.reject(fixture.balancer.lastRequestId, 0);
        fixture.core.runBatch();
        fixture.adoptConnection("s-1");
        fixture.takeRecorded();
        fixture.core.attemptEnded(fixture.attempts.get(fixture.attempts.size() - 1), Outcome.RESET);
        fixture.core.clientDisconnected(fixture.requestArrives(2000));
        fixture.requestArrives(300);
        fixture.advance(300);
        assertEquals("1 1 2", fixture.responseCounts("slot-board"));
        assertEquals("0 0 0", fixture.responseCounts("gate-status"));
        assertEquals(1, fixture.core.metrics().activeRequests(), "the established one");
        fixture.core.attemptEnded(fixture.attempts.get(0), Outcome.OK);
        assertEquals(0, fixture.core.metrics().activeRequests());
    }
}

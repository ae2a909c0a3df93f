package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tulipshed.limits.Limits;

/** When a member that says nothing is given up; with times of the test's own. */
class InactivityDetectorTest {
    private final double timeoutMs = Limits.forDescriptors(384).requests().endpointTimeoutMs();
    private final double sweepIntervalMs = Limits.forDescriptors(384).sockets().sweepIntervalMs();
    private final InactivityDetector detector = new InactivityDetector(timeoutMs);

    /** Seen when a zone was lost: each of its clients waited 2.5 s more, one after the other, before it was sent elsewhere. */
    @Test
    void detectsUnresponsiveEndpointBeforeClientGivesUp() {
        detector.requestSent(1000);
        double at = 1000;
        while (!detector.isUnresponsive(at)) {
            at += sweepIntervalMs;
        }
        assertTrue(at - 1000 > 600, "members may pause for 600 ms");
        assertTrue(at - 1000 < 1500, "given up after " + (at - 1000));
    }

    @Test
    void furtherRequestsDoNotExtendTimeout() {
        detector.requestSent(0);
        detector.isUnresponsive(timeoutMs + 1);
        detector.requestSent(timeoutMs + 2);
        assertTrue(detector.isUnresponsive(timeoutMs + 3));
    }

    /** A node that stood still itself looks before it reads: what has come meanwhile must be read first. */
    @Test
    void responseReadBetweenTwoChecksClearsSuspicion() {
        detector.requestSent(0);
        assertFalse(detector.isUnresponsive(10 * timeoutMs));
        detector.responseReceived();
        assertFalse(detector.isUnresponsive(10 * timeoutMs + 1));
        detector.requestSent(10 * timeoutMs + 2);
        assertFalse(detector.isUnresponsive(20 * timeoutMs), "the suspicion of before is over");
    }

    @Test
    void expectsNoResponseBeforeFirstRequest() {
        assertFalse(detector.isUnresponsive(1e9));
        assertFalse(detector.isUnresponsive(2e9));
    }
}

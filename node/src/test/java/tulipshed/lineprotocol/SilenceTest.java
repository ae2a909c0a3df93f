package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tulipshed.limits.Limits;

/** When a member that says nothing is given up; with times of the test's own. */
class SilenceTest {
    private final double bearableMs = Limits.forDescriptors(384).requests().endpointTimeoutMs();
    private final double sweepMs = Limits.forDescriptors(384).sockets().sweepIntervalMs();
    private final InactivityDetector silence = new InactivityDetector(bearableMs);

    /** Seen when a zone was lost: each of its clients waited 2.5 s more, one after the other, before it was sent elsewhere. */
    @Test
    void aMemberThatSaysNothingIsGivenUpWithinAClientsPatience() {
        silence.asked(1000);
        double at = 1000;
        while (!silence.gone(at)) {
            at += sweepMs;
        }
        assertTrue(at - 1000 > 600, "members may pause for 600 ms");
        assertTrue(at - 1000 < 1500, "given up after " + (at - 1000));
    }

    @Test
    void furtherLinesDoNotProlongIt() {
        silence.asked(0);
        silence.gone(bearableMs + 1);
        silence.asked(bearableMs + 2);
        assertTrue(silence.gone(bearableMs + 3));
    }

    /** A node that stood still itself looks before it reads: what has come meanwhile must be read first. */
    @Test
    void anAnswerReadBetweenTwoLooksClearsTheMember() {
        silence.asked(0);
        assertFalse(silence.gone(10 * bearableMs));
        silence.heard();
        assertFalse(silence.gone(10 * bearableMs + 1));
        silence.asked(10 * bearableMs + 2);
        assertFalse(silence.gone(20 * bearableMs), "the suspicion of before is over");
    }

    @Test
    void nothingIsOwedBeforeTheClientHasSaidAnything() {
        assertFalse(silence.gone(1e9));
        assertFalse(silence.gone(2e9));
    }
}

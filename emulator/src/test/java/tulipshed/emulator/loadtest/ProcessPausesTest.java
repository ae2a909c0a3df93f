package tulipshed.emulator.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A stopped process owes its answers later, and by no more than it was stopped. */
class ProcessPausesTest {
    @Test
    void answersAreOwedLaterByThePausesThatFellIntoTheWait() {
        ProcessPauses pauses = new ProcessPauses();
        assertEquals(3000, pauses.dueMs(1000, 3000));
        pauses.begin(2000);
        assertEquals(Double.POSITIVE_INFINITY, pauses.dueMs(1000, 3000));
        assertEquals(1999, pauses.dueMs(1000, 1999), "what was due before is not put off");
        pauses.end(5000);
        pauses.end(5400);
        assertEquals(6000, pauses.dueMs(1000, 3000));
        assertEquals(4010, pauses.dueMs(4990, 4000));
        assertEquals(6000, pauses.dueMs(5000, 6000), "who came after it is owed no later");
        pauses.begin(5900);
        pauses.end(6100);
        assertEquals(6200, pauses.dueMs(1000, 3000), "a second pause within the time that the first one left");
    }
}

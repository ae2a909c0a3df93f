package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.limits.Limits;
import tulipshed.proxy.Companion;

class SiblingsTest {
    @TempDir
    private Path folder;

    private Path file;
    private Siblings old;

    @BeforeEach
    void first() throws IOException {
        file = folder.resolve("share");
        old = new Siblings(file, 8);
        old.serves();
    }

    @Test
    void oneAloneHasAll() {
        assertFalse(old.accompanied());
        assertEquals(1, old.share());
        assertTrue(old.take("a"));
    }

    @Test
    void allowancesAreSharedOnlyWhileBothServe() throws IOException {
        Siblings next = new Siblings(file, 8);
        old.look();
        assertTrue(old.accompanied() && next.otherServes());
        assertEquals(1, old.share(), "the other does not take clients yet");
        next.serves();
        assertEquals(0.5, old.share());
        assertEquals(0.5, next.share());
        old.leaves();
        assertEquals(0, old.share());
        assertEquals(1, next.share());
        old.close();
        next.look();
        assertFalse(next.accompanied());
        assertThrows(
                IllegalStateException.class,
                () -> {
                    new Siblings(file, 8);
                    new Siblings(file, 8);
                },
                "a third process");
    }

    @Test
    void anIdThatOneHasOpenIsNotTheOthers() throws IOException {
        assertTrue(old.take("a"));
        Siblings next = new Siblings(file, 8);
        old.look();
        assertFalse(next.take("a"));
        assertTrue(next.take("b"));
        assertFalse(old.take("b"));
        old.free("a");
        assertTrue(next.take("a"));
        for (int i = 0; i < 100; i++) {
            assertTrue(old.take("x" + i), "what finds no place is not shared");
            old.free("x" + i);
        }
    }

    /** What a dead process left in the file must not bind the next one. */
    @Test
    void nothingIsLeftOfAProcessThatEnded() throws IOException {
        old.take("a");
        old.open(7);
        old.close();
        Siblings next = new Siblings(file, 8);
        assertFalse(next.accompanied() || next.otherServes());
        assertTrue(next.take("a"));
        assertEquals(0, next.otherOpen());
    }

    @Test
    void whatStandsInOneIsToldToTheOtherUntilItEnds() throws IOException {
        Companion.Standing one = new Companion.Standing("s-1", "desk", 0.5);
        Companion.Standing two = new Companion.Standing("s-2", null, 0);
        int place = old.stands(one);
        int second = old.stands(two);
        Siblings next = new Siblings(file, 8);
        assertEquals(Map.of(place, one, second, two), next.others());
        assertEquals(Map.of(), old.others(), "and not to itself");
        old.ended(place);
        assertEquals(Map.of(second, two), next.others());
        assertEquals(place, old.stands(two), "its place is free again");
        assertEquals(-1, old.stands(new Companion.Standing("s".repeat(40), null, 0)), "what has no room is not told");
        for (int i = 0; i < 6; i++) {
            assertTrue(old.stands(one) >= 0);
        }
        assertEquals(-1, old.stands(one));
        old.close();
        next.look();
        assertEquals(Map.of(), next.others(), "all ends with its process");
    }

    @Test
    void theDescriptorsOfBothAreThoseOfOneNode() throws IOException {
        Limits limits = Limits.forDescriptors(400);
        Siblings next = new Siblings(file, 8);
        XnioLoop loop = new XnioLoop(limits, next);
        old.open(limits.connectionDescriptors() - 64 - 32 - 2);
        assertTrue(loop.hasRoom());
        old.open(limits.connectionDescriptors() - 64 - 32 - 1);
        assertFalse(loop.hasRoom());
        old.close();
        next.look();
        assertTrue(loop.hasRoom());
        loop.stop();
    }
}

package tulipshed.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.model.World;
import tulipshed.emulator.scenario.Scenario;

/** All follows from scenario and seed: no thread, clock or hash of an object in memory has a say. */
class DeterminismTest {
    @ParameterizedTest
    @CsvSource({"herd, module", "trouble, module", "burst, core", "deploy, peak-ewma", "dark-list, bounded-hashing"})
    void anyNumberOfThreadsGivesTheSameDay(String name, String policy) {
        Scenario s = Worlds.file(name, "policy=" + policy, "seconds=40");
        RunResult one = new World(s, 5, 1).run();
        assertTrue(one.messages() > 10_000);
        for (int threads : new int[] {1, 2, 3, 8}) {
            RunResult other = new World(s, 5, threads).run();
            assertEquals(one.trace(), other.trace(), threads + " threads");
            assertEquals(one.figures(), other.figures(), threads + " threads");
            assertEquals(one.messages(), other.messages());
        }
        assertNotEquals(one.trace(), new World(s, 6, 1).run().trace(), "another seed is another day");
    }

    @Test
    void whatIsToldOfARunIsWhatItWas() {
        List<String> first = told();
        assertTrue(first.size() > 100, "a second of a herd has much to tell");
        assertTrue(first.stream().anyMatch(l -> l.contains("a new process")));
        assertEquals(first, told());
    }

    private static List<String> told() {
        List<String> lines = new ArrayList<>();
        World w = new World(Worlds.file("herd"), 3, 1);
        w.tellBetween(18_000, 19_000, lines::add);
        w.runUntil(19_500);
        return lines;
    }
}

package tulipshed.emulator.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;

/** What a node's processes use is added up over all of them. */
class ProcessUsageTest {
    private final ProcessUsage usage = new ProcessUsage();

    @Test
    void nothingIsUsedBeforeAProcessRuns() {
        usage.sample();
        assertEquals(0, usage.cpuSeconds());
        assertEquals(0, usage.peakDescriptors());
    }

    @Test
    void aRunningProcessHasProcessorTimeMemoryAndDescriptors() {
        Assumptions.assumeTrue(Files.exists(Path.of("/proc/self/status")), "a system with /proc");
        usage.follow(ProcessHandle.current());
        usage.sample();
        assertTrue(usage.cpuSeconds() > 0, "cpu " + usage.cpuSeconds());
        assertTrue(usage.peakMemoryMib() > 10, "memory " + usage.peakMemoryMib());
        assertTrue(usage.peakDescriptors() > 2, "descriptors " + usage.peakDescriptors());
    }

    @Test
    void anEndedProcessCountsWithItsLastSample() {
        usage.follow(ProcessHandle.current());
        usage.sample();
        double first = usage.cpuSeconds();
        usage.follow(ProcessHandle.current());
        assertEquals(first, usage.cpuSeconds());
        usage.sample();
        assertTrue(usage.cpuSeconds() >= 2 * first, first + " twice, not " + usage.cpuSeconds());
    }
}

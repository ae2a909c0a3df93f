package tulipshed.emulator.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;

/** The time that an I/O thread ran and waited is read from outside. */
class ThreadScheduleTest {
    private static final long BUSY_MS = 200;

    private final ThreadSchedule schedule = new ThreadSchedule();

    private static void spin() {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BUSY_MS);
        while (System.nanoTime() < untilNs) {
            Thread.onSpinWait();
        }
    }

    @Test
    void nothingIsKnownOfAProcessWithoutAnIoThread() {
        schedule.follow(ProcessHandle.current().pid());
        schedule.sample();
        assertEquals(Optional.empty(), schedule.between(0, 1, atNs -> atNs));
    }

    @Test
    void aBusyThreadRunsOrWaitsAllTheTime() throws Exception {
        Assumptions.assumeTrue(Files.exists(Path.of("/proc/self/schedstat")), "a system that tells run delays");
        Thread thread = new Thread(
                () -> {
                    schedule.follow(ProcessHandle.current().pid());
                    schedule.sample();
                    spin();
                    schedule.sample();
                },
                "tulipshed I/O-1");
        thread.start();
        thread.join();
        ThreadSchedule.Share share =
                schedule.between(0, Double.POSITIVE_INFINITY, atNs -> 1).orElseThrow();
        double busyMs = share.ranMs() + share.waitedMs();
        assertTrue(busyMs >= BUSY_MS * 0.9, () -> "a share of " + share);
        assertTrue(share.waitedMs() >= 0, () -> "a share of " + share);
    }
}

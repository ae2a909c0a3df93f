package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.proxy.EventLoop;

/** The timeouts of connections that are closing. */
class LingerTimeoutsTest {
    private static final double TIMEOUT_MS = 900;

    private final List<Runnable> scheduled = new ArrayList<>();
    private final List<String> expired = new ArrayList<>();
    private double nowMs;
    private final LingerTimeouts timeouts = new LingerTimeouts(new RecordingLoop(), () -> nowMs, TIMEOUT_MS);

    private final class RecordingLoop implements EventLoop {
        @Override
        public void execute(Runnable task) {
            scheduled.add(task);
        }

        @Override
        public void schedule(double delayMs, Runnable task) {
            scheduled.add(task);
        }
    }

    private void runScheduled(double atMs) {
        nowMs = atMs;
        scheduled.remove(0).run();
    }

    /** Guards against closed connections that stay in memory, as many as clients open in the timeout. */
    @Test
    void keepsNothingOfCancelledTimeoutsAndSchedulesOneTask() {
        for (int i = 0; i < 10_000; i++) {
            timeouts.start(() -> expired.add("cancelled")).cancel();
        }
        assertEquals(0, timeouts.size());
        assertEquals(1, scheduled.size());
        runScheduled(TIMEOUT_MS);
        assertEquals(List.of(), expired);
        assertEquals(0, scheduled.size());
    }

    @Test
    void expiresInOrderEachAtItsTime() {
        timeouts.start(() -> expired.add("first"));
        nowMs = 10;
        timeouts.start(() -> expired.add("second"));
        runScheduled(TIMEOUT_MS - 1);
        assertEquals(List.of(), expired, "woken too early");
        runScheduled(TIMEOUT_MS);
        assertEquals(List.of("first"), expired);
        runScheduled(TIMEOUT_MS + 10);
        assertEquals(List.of("first", "second"), expired);
    }

    @Test
    void defectOfOneTaskDoesNotKeepTheOthersFromExpiring() {
        timeouts.start(() -> {
            throw new IllegalStateException("defect");
        });
        timeouts.start(() -> expired.add("second"));
        assertThrows(IllegalStateException.class, () -> runScheduled(TIMEOUT_MS));
        runScheduled(TIMEOUT_MS);
        assertEquals(List.of("second"), expired);
    }
}

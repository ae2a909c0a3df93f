package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.proxy.EventLoop;

/** Tests that a failure log writes one line at the first failure, then one for all failures of an interval. */
class FailureLogTest {
    @Test
    void logsOneLineAnInterval() {
        ArrayDeque<Runnable> timers = new ArrayDeque<>();
        EventLoop loop = new EventLoop() {
            @Override
            public void execute(Runnable task) {
                throw new AssertionError("only timers");
            }

            @Override
            public void schedule(double delayMs, Runnable task) {
                assertEquals(10, delayMs);
                timers.add(task);
            }
        };
        List<String> lines = new ArrayList<>();
        FailureLog log = new FailureLog(loop, 10, lines::add, "accepting failed");
        for (int i = 0; i < 100; i++) {
            log.record(new IOException("No buffer space available"));
        }
        assertEquals(List.of("accepting failed: 1, last: No buffer space available"), lines);
        timers.remove().run();
        assertEquals("accepting failed: 99, last: No buffer space available", lines.get(1));
        timers.remove().run();
        assertEquals(0, timers.size(), "no timer without failures");
        log.record(new IOException("again"));
        assertEquals(3, lines.size());
    }
}

package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.logging.NodeLog;
import tulipshed.time.ManualClock;

/** Delivery of events, decisions and timers. */
class EventBatchTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void deliversAllEventsBeforeRunningDecisions() {
        fixture.requestArrives(2000);
        fixture.decisions.startAttempt(1, "s-1", 0);
        fixture.requestArrives(1000);
        assertEquals(List.of("request 2000", "request 1000", "open s-1"), fixture.takeRecorded());
    }

    /** Regression: an Error in one event discarded the later events of the batch, so that their requests got no response. */
    @Test
    void deliversTheRestOfABatchAfterAnErrorInOneEvent() {
        List<String> log = new ArrayList<>();
        List<String> delivered = new ArrayList<>();
        EventBatch batch = new EventBatch(new ManualClock(0), fixture, NodeLog.to(log::add));
        batch.add((balancer, nowMs, nowUs) -> {
            throw new StackOverflowError("of the test");
        });
        batch.add((balancer, nowMs, nowUs) -> delivered.add("second"));
        batch.schedule(0, () -> {
            throw new OutOfMemoryError("of the test");
        });
        batch.defer(() -> delivered.add("deferred"));
        batch.run();
        assertEquals(List.of("second", "deferred"), delivered);
        assertEquals(2, log.size(), log::toString);
        assertTrue(
                log.get(0).startsWith("ERROR core: event handler failed: java.lang.OutOfMemoryError"), log::toString);
    }

    @Test
    void deliversTimerOfBalancerAtItsDeadline() {
        fixture.decisions.scheduleTimer(20_000, 77);
        fixture.runReadyTasks();
        fixture.advance(19);
        assertEquals(List.of(), fixture.takeRecorded());
        fixture.advance(2);
        assertEquals(List.of("timer 77"), fixture.takeRecorded());
    }
}

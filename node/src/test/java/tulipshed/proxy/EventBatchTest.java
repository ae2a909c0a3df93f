package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

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

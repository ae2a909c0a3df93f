package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.end;
import static tulipshed.decision.BalancerSetup.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.Outcome;

/** Migration of established connections off endpoints that exceed the message latency objective. */
class MigrationTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    @Test
    void ejectsLateEndpointAndMigratesAfterSecondLateReport() {
        Balancer balancer = setup.balancerWithEndpoints(6);
        for (long id = 1; id <= 60; id++) {
            balancer.requestArrived(0, request(id));
            balancer.attemptEstablished(0, id, 0, 1000);
        }
        List<String> attempts = recorder.take();
        String slow = attempts.get(0).split(" ")[2];
        balancer.latencyReported(SECOND, 1, 150);
        assertEquals(List.of(), recorder.take());
        for (long id = 101; id <= 110; id++) {
            balancer.requestArrived(SECOND, request(id));
            assertNotEquals(slow, recorder.attemptedEndpoint());
        }
        balancer.latencyReported(2 * SECOND, 1, 150);
        assertEquals(List.of("migrate 1"), recorder.take());
        balancer.latencyReported(2 * SECOND, 1, 150);
        assertEquals(List.of(), recorder.take(), "a migrated connection is not migrated again");
        end(balancer, 2 * SECOND, 1, 0, true, Outcome.CANCELLED);
        assertEquals(List.of(), recorder.take());
    }

    @Test
    void migratesNothingAfterSingleLateReports() {
        Balancer balancer = setup.balancerWithEndpoints(2);
        for (long id = 1; id <= 40; id++) {
            balancer.requestArrived(0, request(id));
            balancer.attemptEstablished(0, id, 0, 1000);
        }
        recorder.take();
        balancer.latencyReported(SECOND, 1, 500);
        balancer.latencyReported(SECOND + SECOND / 2, 1, 20);
        balancer.latencyReported(4 * SECOND, 1, 500);
        assertEquals(List.of(), recorder.take());
    }
}

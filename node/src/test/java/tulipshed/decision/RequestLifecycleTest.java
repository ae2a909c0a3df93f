package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.end;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;

/** Requests from arrival to end, with at most one final response: held, cancelled, adopted and unknown ones. */
class RequestLifecycleTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    @Test
    void holdsRequestWithoutEndpointThenRejectsIt() {
        Balancer balancer = setup.balancer(1);
        balancer.requestArrived(0, request(1, 0, null, SECOND));
        List<String> held = recorder.take();
        assertEquals(1, held.size());
        long token = Long.parseLong(held.get(0).split(" ")[2]);
        balancer.timerFired(700_000, token);
        assertEquals(List.of("reject 1"), recorder.take());
        balancer.timerFired(800_000, token);
        balancer.requestCancelled(900_000, 1);
        assertEquals(List.of(), recorder.take());
    }

    @Test
    void startsAttemptOfHeldRequestWhenEndpointAppears() {
        Balancer balancer = setup.balancer(1);
        balancer.requestArrived(0, request(1, 0, null, SECOND));
        long token = Long.parseLong(recorder.take().get(0).split(" ")[2]);
        setup.listEndpoints(balancer, 100_000, 1);
        balancer.timerFired(200_000, token);
        assertEquals(List.of("start 1 " + endpointName(0)), recorder.take());
    }

    @Test
    void outcomeAndCancellationInOneBatchGiveOneFinalResponse() {
        Balancer balancer = setup.balancerWithEndpoints(1);
        balancer.requestArrived(0, request(1));
        recorder.attemptedEndpoint();
        end(balancer, 2 * SECOND, 1, 0, false, Outcome.TIMEOUT);
        balancer.requestCancelled(2 * SECOND, 1);
        assertEquals(List.of("reject 1"), recorder.take());
    }

    @Test
    void cancelsAttemptOfDisconnectedClientWithoutFinalResponse() {
        Balancer balancer = setup.balancerWithEndpoints(3);
        balancer.requestArrived(0, request(1));
        recorder.attemptedEndpoint();
        balancer.requestCancelled(10, 1);
        assertEquals(List.of("cancel 1 0"), recorder.take());
        end(balancer, 20, 1, 0, true, Outcome.CANCELLED);
        assertEquals(List.of(), recorder.take());
        setup.cancellation = false;
        Balancer other = setup.balancer(1);
        setup.listEndpoints(other, 0, 3);
        other.requestArrived(0, request(2));
        recorder.attemptedEndpoint();
        other.requestCancelled(10, 2);
        assertEquals(List.of(), recorder.take());
    }

    /**
     * Requests keep their class and tenants their token bucket on reconfiguration; stored by index, they would belong
     * to another class or tenant after an earlier one is removed.
     */
    @Test
    void reconfigurationKeepsClassOfOpenRequestsAndBucketsOfTenants() {
        setup.idempotency = Idempotency.NOT_IDEMPOTENT;
        Balancer balancer = setup.balancerWithEndpoints(4);
        balancer.requestArrived(0, request(1));
        recorder.attemptedEndpoint();
        balancer.requestArrived(0, request(2));
        recorder.attemptedEndpoint();
        BalancerSetup changed = new BalancerSetup();
        changed.maxAttempts = 2;
        changed.tenants = 1;
        balancer.reconfigure(1, changed.settings());
        end(balancer, 2, 1, 0, false, Outcome.ERROR);
        assertEquals(
                List.of("fail 1"), recorder.take(), "the request keeps its class at arrival, which is not idempotent");
        balancer.attemptEstablished(3, 2, 0, 1000);
        end(balancer, 4, 2, 0, true, Outcome.OK);
        balancer.requestArrived(5, request(3));
        recorder.attemptedEndpoint();
        end(balancer, 6, 3, 0, false, Outcome.ERROR);
        recorder.attemptedEndpoint();
        end(balancer, 7, 3, 1, false, Outcome.ERROR);
        assertTrue(recorder.take().get(0).startsWith("reject 3"), "two attempts at most");
        balancer.requestArrived(8, request(4, 1, null, 2 * SECOND));
        recorder.attemptedEndpoint();
    }

    @Test
    void startsNoAttemptForClientThatDisconnectedWhileHeld() {
        Balancer balancer = setup.balancer(1);
        balancer.requestArrived(0, request(1, 0, null, SECOND));
        long token = Long.parseLong(recorder.take().get(0).split(" ")[2]);
        balancer.requestCancelled(100_000, 1);
        setup.listEndpoints(balancer, 150_000, 1);
        balancer.timerFired(200_000, token);
        assertEquals(List.of(), recorder.take());
    }

    @Test
    void adoptedConnectionHasNoAttemptAndNoFinalResponse() {
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.connectionAdopted(0, request(7), endpointName(0));
        end(balancer, SECOND, 7, 0, true, Outcome.RESET);
        assertEquals(List.of(), recorder.take());
    }

    @Test
    void ignoresEventsForUnknownRequestsAndEndpoints() {
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.attemptEstablished(1, 77, 0, 10);
        balancer.latencyReported(1, 77, 500);
        balancer.loadReported(1, 77, 500);
        end(balancer, 1, 77, 0, true, Outcome.OK);
        balancer.requestCancelled(1, 77);
        balancer.healthCheckCompleted(1, "unknown", Outcome.OK, LoadReport.NONE);
        balancer.peerMessageReceived(1, 3, new byte[0]);
        balancer.timerFired(1, 12345);
        assertEquals(List.of(), recorder.take());
    }
}

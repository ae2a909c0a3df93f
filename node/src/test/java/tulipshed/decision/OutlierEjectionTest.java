package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.end;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;

/** Ejection of endpoints that fail or approach the message latency objective. */
class OutlierEjectionTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    @Test
    void ejectsEndpointAfterConnectFailure() {
        Balancer balancer = setup.balancerWithEndpoints(10);
        balancer.requestArrived(0, request(1));
        String failed = recorder.attemptedEndpoint();
        end(balancer, 1, 1, 0, false, Outcome.CONNECT_FAILED);
        assertNotEquals(failed, recorder.attemptedEndpoint());
        for (long id = 2; id < 60; id++) {
            balancer.requestArrived(id, request(id));
            assertNotEquals(failed, recorder.attemptedEndpoint());
            balancer.attemptEstablished(id, id, 0, 1000);
        }
    }

    @Test
    void usesAllEndpointsWhenMostAreEjected() {
        Balancer balancer = setup.balancerWithEndpoints(4);
        for (long id = 1; id <= 40; id++) {
            // Exempt from admission, so that only placement affects the result.
            balancer.requestArrived(id, new NewRequest(id, 0, 0, "k", null, 2 * SECOND, 0, false, true, false));
            end(balancer, id, id, 0, true, Outcome.TIMEOUT);
        }
        Set<String> used = new HashSet<>();
        for (String line : recorder.take()) {
            if (line.startsWith("start")) {
                used.add(line.split(" ")[2]);
            }
        }
        assertEquals(4, used.size());
    }

    /** Endpoints may silently drop a request that has hardly any time left. */
    @Test
    void timeoutOfRequestWithHardlyAnyTimeEjectsNothing() {
        assertFalse(isAvoidedAfterTimeout(50_000));
        assertTrue(isAvoidedAfterTimeout(60_000));
    }

    private boolean isAvoidedAfterTimeout(long timeoutUs) {
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.requestArrived(0, request(1, 0, null, timeoutUs));
        String timedOut = recorder.attemptedEndpoint();
        end(balancer, timeoutUs, 1, 0, true, Outcome.TIMEOUT);
        return !endpointsOfAttempts(balancer, timeoutUs, 2).contains(timedOut);
    }

    /** A few unrelated resets would otherwise eject all endpoints of a small pool at once. */
    @Test
    void ejectsAfterTwoConsecutiveResetsButNotAfterOne() {
        Balancer balancer = setup.balancerWithEndpoints(4);
        endAdopted(balancer, 1, 1001, 0, Outcome.RESET);
        assertTrue(endpointsOfAttempts(balancer, 2, 1).contains(endpointName(0)));
        endAdopted(balancer, 6 * SECOND, 1002, 0, Outcome.RESET);
        assertTrue(
                endpointsOfAttempts(balancer, 6 * SECOND, 101).contains(endpointName(0)),
                "the resets are not consecutive");
        endAdopted(balancer, 6 * SECOND, 1003, 0, Outcome.RESET);
        assertFalse(endpointsOfAttempts(balancer, 6 * SECOND, 201).contains(endpointName(0)));
    }

    /**
     * Connections that one endpoint resets together count as one ejection; counted one by one, eight of them would
     * eject it for 16 s before jitter.
     */
    @Test
    void connectionsResetTogetherCauseOneEjection() {
        Balancer balancer = setup.balancerWithEndpoints(4);
        for (int i = 0; i < 8; i++) {
            balancer.connectionAdopted(0, request(1000 + i), endpointName(0));
        }
        for (int i = 0; i < 8; i++) {
            end(balancer, 1, 1000 + i, 0, true, Outcome.RESET);
        }
        assertFalse(endpointsOfAttempts(balancer, 2, 1).contains(endpointName(0)));
        assertTrue(endpointsOfAttempts(balancer, 3 * SECOND, 101).contains(endpointName(0)));
    }

    /** After a crash, retries would otherwise go to unreachable endpoints again and again. */
    @Test
    void doesNotUseFailingEndpointsWhenMostAreEjected() {
        Balancer balancer = setup.balancerWithEndpoints(5);
        for (int i = 0; i < 4; i++) {
            endAdopted(balancer, 1, 1000 + i, i, Outcome.CONNECT_FAILED);
        }
        balancer.requestArrived(2, request(1));
        assertEquals(endpointName(4), recorder.attemptedEndpoint());
        end(balancer, 3, 1, 0, false, Outcome.RESET);
        List<String> actions = recorder.take();
        assertEquals(List.of("reject 1"), actions, "rejected at once, without an attempt at a failing endpoint");
    }

    /** A connection to an endpoint above its latency objective is not served in time and keeps the latency high. */
    @Test
    void prefersEligibleEndpointEvenIfMostAreLate() {
        Balancer balancer = setup.balancerWithEndpoints(4);
        for (int i = 0; i < 3; i++) {
            balancer.connectionAdopted(0, request(1000 + i), endpointName(i));
            balancer.latencyReported(1, 1000 + i, 500);
        }
        balancer.requestArrived(2, exemptRequest(1));
        assertEquals(endpointName(3), recorder.attemptedEndpoint());
        balancer.requestArrived(3, exemptRequest(2));
        assertEquals(endpointName(3), recorder.attemptedEndpoint());
        balancer.requestArrived(4, exemptRequest(3));
        assertEquals(endpointName(3), recorder.attemptedEndpoint());
    }

    @Test
    void ineligibleEndpointsAreDrainingOrEjected() {
        Balancer balancer = setup.balancerWithEndpoints(4);
        assertEquals(0, balancer.ineligibleCount(0));
        balancer.requestArrived(0, request(1));
        String failed = recorder.attemptedEndpoint();
        end(balancer, 0, 1, 0, false, Outcome.CONNECT_FAILED);
        assertEquals(1, balancer.ineligibleCount(1));
        assertTrue(!recorder.attemptedEndpoint().equals(failed));
        int other = failed.equals(endpointName(0)) ? 1 : 0;
        balancer.endpointsChanged(
                1, EndpointListKind.CHANGES, List.of(setup.endpoint(other, EndpointStatus.DRAINING, 0)));
        assertEquals(2, balancer.ineligibleCount(1));
        balancer.endpointsChanged(
                1, EndpointListKind.CHANGES, List.of(setup.endpoint(other, EndpointStatus.REMOVED, 0)));
        assertEquals(1, balancer.ineligibleCount(1), "a removed endpoint is not counted");
        assertEquals(0, balancer.ineligibleCount(60 * SECOND), "an ejection expires");
    }

    private void endAdopted(Balancer balancer, long now, long id, int endpoint, Outcome outcome) {
        balancer.connectionAdopted(now, request(id), endpointName(endpoint));
        end(balancer, now, id, 0, true, outcome);
    }

    /** A request that needs no token, so that only placement affects the result. */
    private static NewRequest exemptRequest(long id) {
        return new NewRequest(id, 0, 0, "key" + id, null, 2 * SECOND, 0, false, true, false);
    }

    /** The endpoints of 40 attempts that are cancelled at once, so that they leave no observations. */
    private List<String> endpointsOfAttempts(Balancer balancer, long now, long firstId) {
        List<String> endpoints = new ArrayList<>();
        for (long id = firstId; id < firstId + 40; id++) {
            balancer.requestArrived(now, exemptRequest(id));
            endpoints.add(recorder.attemptedEndpoint());
            end(balancer, now, id, 0, true, Outcome.CANCELLED);
        }
        return endpoints;
    }
}

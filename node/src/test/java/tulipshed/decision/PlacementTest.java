package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.end;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Outcome;
import tulipshed.decision.api.Prices;

/** Choice of the endpoint of an attempt. */
class PlacementTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    @Test
    void choosesLessLoadedOfTwoEndpoints() {
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.requestArrived(0, request(1));
        String first = recorder.attemptedEndpoint();
        balancer.attemptEstablished(0, 1, 0, 1000);
        for (long id = 2; id < 12; id++) {
            balancer.requestArrived(1, request(id));
            assertNotEquals(first, recorder.attemptedEndpoint());
            end(balancer, 1, id, 0, true, Outcome.OK);
        }
    }

    @Test
    void distributesByWeightWhileItHoldsFewConnections() {
        Balancer balancer = setup.balancer(1);
        List<EndpointInfo> entries = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            // All of one machine type, so that setup times have no influence.
            entries.add(new EndpointInfo(
                    endpointName(i), EndpointStatus.SERVING, "zone0", 0, "kind0", i % 2 == 0 ? 2.5 : 1.5, 0));
        }
        balancer.endpointsChanged(0, EndpointListKind.CACHED, entries);
        int large = 0;
        for (long id = 1; id <= 2000; id++) {
            balancer.requestArrived(id, request(id));
            large += Integer.parseInt(recorder.attemptedEndpoint().substring("server".length())) % 2 == 0 ? 1 : 0;
            balancer.attemptEstablished(id, id, 0, 1000);
            end(balancer, id, id, 0, true, Outcome.OK);
        }
        assertTrue(
                large > 1150 && large < 1350,
                "of 2000, to the half of the endpoints that has five eighths of the weight: " + large);
    }

    @Test
    void slowMachineTypesReceiveLess() {
        Balancer balancer = setup.balancerWithEndpoints(20);
        long id = 0;
        int fast = 0;
        for (int i = 0; i < 2000; i++) {
            balancer.requestArrived(i * 10_000L, request(++id));
            String endpoint = recorder.attemptedEndpoint();
            boolean isFast = Integer.parseInt(endpoint.substring("server".length())) % 2 == 0;
            balancer.attemptEstablished(i * 10_000L, id, 0, isFast ? 10_000 : 30_000);
            fast += isFast && i >= 1000 ? 1 : 0;
            if (id > 100) {
                end(balancer, i * 10_000L, id - 100, 0, true, Outcome.OK);
            }
        }
        assertTrue(fast > 650 && fast < 850, "of 1000, to endpoints three times as fast: " + fast);
    }

    @Test
    void prefersSameZoneForFirstAttemptOnlyWhereCrossingHasPrice() {
        setup.prices = new Prices(0.05, 0, 0, 0, 0);
        Balancer balancer = setup.balancerWithEndpoints(40);
        int otherZone = 0;
        for (long id = 1; id <= 20; id++) {
            long now = id * 60 * SECOND;
            balancer.requestArrived(now, request(id));
            assertEquals(0, indexOf(recorder.attemptedEndpoint()) % 2, "first attempt in the same zone");
            // If all endpoints of a zone fail, they must not use up all attempts.
            end(balancer, now, id, 0, false, Outcome.CONNECT_FAILED);
            otherZone += indexOf(recorder.attemptedEndpoint()) % 2;
            end(balancer, now, id, 1, true, Outcome.OK);
        }
        assertTrue(otherZone >= 4, "second attempts outside the same zone: " + otherZone);
    }

    @Test
    void endpointListedInAnotherZoneLeavesTheSameZone() {
        setup.prices = new Prices(0.05, 0, 0, 0, 0);
        Balancer balancer = setup.balancerWithEndpoints(40);
        List<EndpointInfo> moved = new ArrayList<>();
        for (int i = 2; i < 40; i += 2) {
            moved.add(new EndpointInfo(endpointName(i), EndpointStatus.SERVING, "zone1", i / 2, "kind0", 1, 0));
        }
        balancer.endpointsChanged(0, EndpointListKind.CHANGES, moved);
        for (long id = 1; id <= 20; id++) {
            balancer.requestArrived(id, request(id));
            assertEquals(endpointName(0), recorder.attemptedEndpoint(), "the only one left in the same zone");
            end(balancer, id, id, 0, true, Outcome.OK);
        }
    }

    @Test
    void reusesIdleConnectionWhereHandshakeHasPrice() {
        setup.prices = new Prices(0, 0.1, 0, 0, 0);
        Balancer balancer = setup.balancerWithEndpoints(50);
        for (long id = 1; id <= 5; id++) {
            balancer.requestArrived(0, request(id));
            balancer.attemptEstablished(0, id, 0, 1000);
        }
        String endpoint = recorder.take().get(0).split(" ")[2];
        end(balancer, 0, 1, 0, true, Outcome.OK);
        balancer.requestArrived(1, request(100));
        assertEquals(endpoint, recorder.attemptedEndpoint());
    }

    /**
     * The endpoint of the latest idle connection is reused as long as it has one: of equal idle connections the oldest
     * is taken, so that the newest one keeps its endpoint first.
     */
    @Test
    void reusesEndpointOfLatestIdleConnectionAgainWhileItHasAnother() {
        setup.prices = new Prices(0, 0.1, 0, 0, 0);
        Balancer balancer = setup.balancerWithEndpoints(3);
        for (long id = 10; id < 40; id++) {
            balancer.connectionAdopted(0, request(id), endpointName(2));
        }
        balancer.connectionAdopted(0, request(1), endpointName(0));
        balancer.connectionAdopted(0, request(2), endpointName(1));
        balancer.connectionAdopted(0, request(3), endpointName(0));
        for (long id = 1; id <= 3; id++) {
            end(balancer, 0, id, 0, true, Outcome.OK);
        }
        for (long id = 100; id <= 101; id++) {
            balancer.requestArrived(1, request(id));
            assertEquals(endpointName(0), recorder.attemptedEndpoint());
        }
    }

    @Test
    void sendsNothingToDrainingOrRemovedEndpoints() {
        Balancer balancer = setup.balancerWithEndpoints(4);
        balancer.endpointsChanged(
                0,
                EndpointListKind.CHANGES,
                List.of(setup.endpoint(0, EndpointStatus.DRAINING, 0), setup.endpoint(1, EndpointStatus.REMOVED, 0)));
        for (long id = 1; id <= 60; id++) {
            balancer.requestArrived(id, request(id));
            String endpoint = recorder.attemptedEndpoint();
            assertTrue(endpoint.equals(endpointName(2)) || endpoint.equals(endpointName(3)), endpoint);
            balancer.attemptEstablished(id, id, 0, 1000);
        }
    }

    @Test
    void removesEndpointAbsentFromCompleteList() {
        Balancer balancer = setup.balancerWithEndpoints(3);
        balancer.endpointsChanged(0, EndpointListKind.COMPLETE, List.of(setup.endpoint(2)));
        for (long id = 1; id <= 20; id++) {
            balancer.requestArrived(id, request(id));
            assertEquals(endpointName(2), recorder.attemptedEndpoint());
            balancer.attemptEstablished(id, id, 0, 1000);
        }
    }

    /**
     * Clients that reconnect together report loads later; counted as 1 each, all would go to the least loaded endpoint.
     */
    @Test
    void connectionsWithoutReportedLoadCountAsAverageOfTheirClass() {
        Balancer balancer = setup.balancerWithEndpoints(3);
        for (int id = 1; id <= 4; id++) {
            balancer.connectionAdopted(0, request(id), endpointName(1 + id % 2));
            balancer.loadReported(0, id, 40_000);
        }
        int toEmptyEndpoint = 0;
        for (int id = 5; id < 45; id++) {
            balancer.requestArrived(id, request(id));
            toEmptyEndpoint += recorder.attemptedEndpoint().equals(endpointName(0)) ? 1 : 0;
            balancer.attemptEstablished(id, id, 0, 1000);
        }
        assertTrue(
                toEmptyEndpoint >= 11 && toEmptyEndpoint <= 19,
                "of 40, where 14 or 15 would balance the loads: " + toEmptyEndpoint);
    }

    private static int indexOf(String endpoint) {
        return Integer.parseInt(endpoint.substring("server".length()));
    }
}

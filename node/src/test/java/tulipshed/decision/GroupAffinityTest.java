package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;

/** Placement of the connections of a group on few endpoints. */
class GroupAffinityTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    @Test
    void keepsGroupTogetherAndBalancersAgreeOnPreferredEndpoints() {
        setup.groupAffinity = true;
        Set<String> used = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            Balancer balancer = setup.balancer(seed);
            setup.listEndpoints(balancer, 0, 50);
            for (long id = 1; id <= 5; id++) {
                balancer.requestArrived(id, request(id, 0, "g", 2 * SECOND));
                used.add(recorder.attemptedEndpoint());
                balancer.attemptEstablished(id, id, 0, 1000);
                balancer.latencyReported(id, id, 5);
            }
        }
        // Without affinity a hundred connections would use nearly all of the fifty endpoints.
        assertTrue(used.size() <= 25, "endpoints used: " + used.size());
    }

    /** With many balancers, a warming endpoint would otherwise receive connections of every group. */
    @Test
    void prefersGroupHolderOverWarmingEndpoint() {
        setup.groupAffinity = true;
        setup.quotaConnections = 100;
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.endpointsChanged(0, EndpointListKind.CHANGES, List.of(setup.endpoint(9, EndpointStatus.SERVING, 1)));
        balancer.connectionAdopted(0, request(1, 0, "g", 2 * SECOND), endpointName(1));
        balancer.latencyReported(0, 1, 5);
        for (int id = 2; id < 20; id++) {
            long now = id * SECOND / 2;
            balancer.requestArrived(now, request(id, 0, "g", 2 * SECOND));
            assertEquals(endpointName(1), recorder.attemptedEndpoint());
            balancer.attemptEstablished(now, id, 0, 1000);
        }
    }

    /** Without latency reports nothing else would stop a group from overloading one endpoint. */
    @Test
    void boundsGroupHolderByTwiceEvenLoadWithoutLatencyReports() {
        setup.groupAffinity = true;
        Balancer balancer = setup.balancerWithEndpoints(8);
        balancer.connectionAdopted(0, request(1, 0, "g", 2 * SECOND), endpointName(1));
        Map<String, Integer> sent = new HashMap<>();
        for (int id = 2; id <= 80; id++) {
            balancer.requestArrived(id * SECOND, request(id, 0, "g", 2 * SECOND));
            sent.merge(recorder.attemptedEndpoint(), 1, Integer::sum);
            balancer.attemptEstablished(id * SECOND, id, 0, 1000);
        }
        sent.forEach((endpoint, count) ->
                assertTrue(count <= 21, endpoint + " was sent " + count + " of 80 connections for eight endpoints"));
    }

    /**
     * With load reports, the less loaded of two holders is chosen, up to twice the even load; without this bound,
     * holders would attract their groups until they exceed the latency objective, while other endpoints are idle.
     */
    @Test
    void choosesLessLoadedGroupHolderAndBoundsItByTwiceEvenLoadWithLoadReports() {
        setup.groupAffinity = true;
        int lessLoaded = 0;
        for (int seed = 0; seed < 200; seed++) {
            Balancer balancer = balancerWithLoads(seed);
            balancer.requestArrived(0, request(3, 0, "g", 2 * SECOND));
            lessLoaded += recorder.attemptedEndpoint().equals(endpointName(2)) ? 1 : 0;
        }
        assertTrue(lessLoaded > 130, "of 200, three quarters by two draws and half by one: " + lessLoaded);
        Balancer balancer = balancerWithLoads(1);
        Map<String, Integer> sent = new HashMap<>();
        for (int id = 3; id <= 80; id++) {
            balancer.requestArrived(id * SECOND, request(id, 0, "g", 2 * SECOND));
            sent.merge(recorder.attemptedEndpoint(), 1, Integer::sum);
            balancer.attemptEstablished(id * SECOND, id, 0, 1000);
        }
        sent.forEach((endpoint, count) ->
                assertTrue(count <= 24, endpoint + " was sent " + count + " of 78 connections for eight endpoints"));
    }

    /** The endpoint of an adopted connection may be listed late or never; until then it has no weight. */
    @Test
    void holderThatIsNotListedAttractsNothing() {
        setup.groupAffinity = true;
        Balancer balancer = setup.balancerWithEndpoints(8);
        balancer.connectionAdopted(0, request(1, 0, "g", 2 * SECOND), "unlisted");
        balancer.requestArrived(0, request(2, 0, "g", 2 * SECOND));
        assertNotEquals("unlisted", recorder.attemptedEndpoint());
    }

    @Test
    void listedHolderIsChosenBeforeOneThatIsNotListed() {
        setup.groupAffinity = true;
        int listed = 0;
        for (int seed = 0; seed < 200; seed++) {
            Balancer balancer = balancerWithLoads(seed);
            balancer.connectionAdopted(0, request(3, 0, "g", 2 * SECOND), "unlisted");
            recorder.take();
            balancer.requestArrived(0, request(4, 0, "g", 2 * SECOND));
            String endpoint = recorder.attemptedEndpoint();
            assertNotEquals("unlisted", endpoint);
            listed += Set.of(endpointName(1), endpointName(2)).contains(endpoint) ? 1 : 0;
        }
        assertTrue(listed > 160, "of 200, eight ninths by two draws and two thirds by one: " + listed);
    }

    /**
     * Two connections without a group at each of eight endpoints; of group g, endpoint 1 holds one of high load and
     * endpoint 2 one of low load.
     */
    private Balancer balancerWithLoads(int seed) {
        Balancer balancer = setup.balancer(seed);
        setup.listEndpoints(balancer, 0, 8);
        for (int id = 101; id <= 116; id++) {
            balancer.connectionAdopted(0, request(id), endpointName(id % 8));
        }
        for (int id = 1; id <= 2; id++) {
            balancer.connectionAdopted(0, request(id, 0, "g", 2 * SECOND), endpointName(id));
            balancer.latencyReported(0, id, 5);
            balancer.loadReported(0, id, id == 1 ? 1.2 : 0.2);
        }
        return balancer;
    }
}

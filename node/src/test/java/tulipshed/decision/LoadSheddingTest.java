package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.end;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;

/** Load shedding after endpoints have dropped connections of a balancer that holds few. */
class LoadSheddingTest {
    private static final int REQUESTS = 200;
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    /** A balancer with thirty endpoints and this many connections, as one of very many balancers would have. */
    private Balancer balancerWithConnections(int connections) {
        Balancer balancer = setup.balancer(1);
        setup.listEndpoints(balancer, 0, 30);
        for (int i = 0; i < connections; i++) {
            balancer.connectionAdopted(0, request(1000 + i), endpointName(i % 30));
        }
        return balancer;
    }

    /** The number of rejections of 200 requests whose connections end at once. */
    private int rejected(Balancer balancer, long now, boolean reconnecting) {
        recorder.take();
        int rejected = 0;
        for (long id = 1; id <= REQUESTS; id++) {
            balancer.requestArrived(
                    now, new NewRequest(id, 0, 0, "k" + id, null, 2 * SECOND, 0, false, false, reconnecting));
            List<String> actions = recorder.take();
            rejected += actions.get(0).startsWith("reject") ? 1 : 0;
            if (actions.get(0).startsWith("start")) {
                balancer.attemptEstablished(now, id, 0, 1000);
                end(balancer, now, id, 0, true, Outcome.OK);
            }
        }
        return rejected;
    }

    @Test
    void shedsReconnectingClientsForSomeTimeAfterDrop() {
        Balancer balancer = balancerWithConnections(3);
        assertEquals(0, rejected(balancer, 1, true), "nothing dropped yet");
        end(balancer, SECOND, 1000, 0, true, Outcome.RESET);
        int rejectedAfterDrop = rejected(balancer, SECOND, true);
        assertTrue(
                rejectedAfterDrop > REQUESTS * 0.8 && rejectedAfterDrop < REQUESTS * 0.97,
                "right after: " + rejectedAfterDrop);
        assertEquals(0, rejected(balancer, SECOND, false), "new clients");
        int rejectedLater = rejected(balancer, 46 * SECOND, true);
        assertTrue(rejectedLater > 0 && rejectedLater < REQUESTS * 0.25, "45 s later: " + rejectedLater);
        assertEquals(0, rejected(balancer, 180 * SECOND, true), "three minutes later");
    }

    @Test
    void shedsNothingWithConnectionPerEndpoint() {
        Balancer balancer = balancerWithConnections(60);
        for (int i = 0; i < 10; i++) {
            end(balancer, SECOND, 1000 + 3 * i, 0, true, Outcome.RESET);
        }
        assertEquals(0, rejected(balancer, SECOND, true));
    }

    @Test
    void dropsByDrainingEndpointCauseNoShedding() {
        Balancer balancer = balancerWithConnections(3);
        balancer.endpointsChanged(
                SECOND, EndpointListKind.CHANGES, List.of(setup.endpoint(0, EndpointStatus.DRAINING, 0)));
        end(balancer, 2 * SECOND, 1000, 0, true, Outcome.RESET);
        assertEquals(0, rejected(balancer, 2 * SECOND, true));
    }
}

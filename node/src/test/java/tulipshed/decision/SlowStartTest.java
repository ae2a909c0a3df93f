package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;

/** Limits for recently started endpoints. */
class SlowStartTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    @Test
    void warmingEndpointReceivesFewConnectionsInBurstAndMoreOverTime() {
        setup.quotaConnections = 100;
        Balancer balancer = setup.balancerWithEndpoints(9);
        long id = 0;
        for (int i = 0; i < 90; i++) {
            balancer.requestArrived(0, request(++id));
            recorder.attemptedEndpoint();
            balancer.attemptEstablished(0, id, 0, 1000);
        }
        long start = 100 * SECOND;
        balancer.endpointsChanged(
                start, EndpointListKind.CHANGES, List.of(setup.endpoint(9, EndpointStatus.SERVING, start)));
        int warming = 0;
        for (int i = 0; i < 200; i++) {
            balancer.requestArrived(start + i * 1000L, request(++id));
            warming += recorder.attemptedEndpoint().equals(endpointName(9)) ? 1 : 0;
            balancer.attemptEstablished(start + i * 1000L, id, 0, 1000);
        }
        assertTrue(warming <= 6, "sent in the first burst: " + warming);
        for (int i = 0; i < 400; i++) {
            long now = start + SECOND + i * 20_000L;
            balancer.requestArrived(now, request(++id));
            warming += recorder.attemptedEndpoint().equals(endpointName(9)) ? 1 : 0;
            balancer.attemptEstablished(now, id, 0, 1000);
        }
        assertTrue(warming > 10, "sent during slow start: " + warming);
    }

    /**
     * If each of many balancers accumulated a full credit, connections sent at the same time would overload the
     * endpoint.
     */
    @Test
    void creditAccumulatedByAllBalancersDoesNotGrowWithTheirNumber() {
        setup.quotaConnections = 20;
        setup.nodeCount = 400;
        int sentByAll = 0;
        for (int seed = 0; seed < setup.nodeCount; seed++) {
            Balancer balancer = setup.balancer(seed);
            balancer.endpointsChanged(
                    0,
                    EndpointListKind.COMPLETE,
                    List.of(
                            setup.endpoint(0),
                            setup.endpoint(1),
                            setup.endpoint(2),
                            setup.endpoint(3),
                            setup.endpoint(4, EndpointStatus.SERVING, 1)));
            balancer.requestArrived(15 * SECOND, request(1));
            sentByAll += recorder.attemptedEndpoint().equals(endpointName(4)) ? 1 : 0;
        }
        // By quota the five endpoints hold 40 connections, 8 each, so the credit accumulated in two seconds is 18.
        assertTrue(sentByAll > 8 && sentByAll < 27, "sent by all at once: " + sentByAll);
    }

    /** Two processes of one balancer together must not fill a warming endpoint faster than a single one. */
    @Test
    void quotaShareLimitsSlowStartCredit() {
        int[] sent = new int[2];
        for (int run = 0; run < 2; run++) {
            Balancer balancer = setup.balancerWithEndpoints(2);
            balancer.quotaShareChanged(0, run == 0 ? 1 : 0);
            balancer.endpointsChanged(
                    0,
                    EndpointListKind.CHANGES,
                    List.of(
                            setup.endpoint(2, EndpointStatus.SERVING, 0),
                            setup.endpoint(9, EndpointStatus.SERVING, 1)));
            for (int i = 1; i < 400; i++) {
                long now = i * 20_000L;
                balancer.requestArrived(now, request(i));
                sent[run] += recorder.attemptedEndpoint().equals(endpointName(9)) ? 1 : 0;
                balancer.attemptEstablished(now, i, 0, 1000);
            }
        }
        assertTrue(sent[0] > 5, "with the full quota: " + sent[0]);
        assertTrue(sent[1] <= 1, "without quota: " + sent[1]);
    }

    /**
     * A balancer that holds no connections computes the slow-start credit from the quota. Computed from its own
     * connections, it would be so small that the only endpoint that is not warming would receive nearly all connections
     * and exceed its latency objective.
     */
    @Test
    void balancerWithoutConnectionsFillsWarmingEndpointsByQuota() {
        setup.nodeCount = 8;
        setup.quotaConnections = 38;
        int warming = 0;
        for (int seed = 0; seed < 40; seed++) {
            Balancer balancer = setup.balancer(seed);
            balancer.endpointsChanged(
                    0,
                    EndpointListKind.COMPLETE,
                    List.of(
                            setup.endpoint(0),
                            setup.endpoint(1, EndpointStatus.SERVING, 1),
                            setup.endpoint(2, EndpointStatus.SERVING, 1),
                            setup.endpoint(3, EndpointStatus.SERVING, 1)));
            for (int i = 1; i <= 6; i++) {
                long now = 2 * SECOND + i * SECOND / 2;
                balancer.requestArrived(now, request(i));
                warming += recorder.attemptedEndpoint().equals(endpointName(0)) ? 0 : 1;
                balancer.attemptEstablished(now, i, 0, 1000);
            }
        }
        assertTrue(warming > 180 && warming < 215, "of 240 to the three warming endpoints: " + warming);
    }
}

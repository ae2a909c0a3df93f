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
    void warmingEndpointReceivesLittleInWaveAndFillsOverTime() {
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
        assertTrue(warming <= 6, "sent in the first wave: " + warming);
        for (int i = 0; i < 400; i++) {
            long now = start + SECOND + i * 20_000L;
            balancer.requestArrived(now, request(++id));
            warming += recorder.attemptedEndpoint().equals(endpointName(9)) ? 1 : 0;
            balancer.attemptEstablished(now, id, 0, 1000);
        }
        assertTrue(warming > 10, "sent over its warm-up: " + warming);
    }

    /** Saved up to a whole connection by each of many balancers, credit spent at once would overload the endpoint. */
    @Test
    void creditSavedByAllBalancersDoesNotGrowWithTheirNumber() {
        setup.quotaConnections = 20;
        setup.nodeCount = 400;
        int wave = 0;
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
            wave += recorder.attemptedEndpoint().equals(endpointName(4)) ? 1 : 0;
        }
        // The quota for the four others is 40 connections, so the credit gained in two seconds is 18.
        assertTrue(wave > 8 && wave < 27, "sent by all at once: " + wave);
    }

    /** Two processes of one balancer together must not fill a warming endpoint faster than one. */
    @Test
    void quotaShareLimitsSlowStartCredit() {
        int[] sent = new int[2];
        for (int half = 0; half < 2; half++) {
            Balancer balancer = setup.balancerWithEndpoints(2);
            balancer.quotaShareChanged(0, half == 0 ? 1 : 0);
            balancer.endpointsChanged(
                    0,
                    EndpointListKind.CHANGES,
                    List.of(
                            setup.endpoint(2, EndpointStatus.SERVING, 0),
                            setup.endpoint(9, EndpointStatus.SERVING, 1)));
            for (int i = 1; i < 400; i++) {
                long now = i * 20_000L;
                balancer.requestArrived(now, request(i));
                sent[half] += recorder.attemptedEndpoint().equals(endpointName(9)) ? 1 : 0;
                balancer.attemptEstablished(now, i, 0, 1000);
            }
        }
        assertTrue(sent[0] > 5, "all of it: " + sent[0]);
        assertTrue(sent[1] <= 1, "none of it: " + sent[1]);
    }

    /** Otherwise the only endpoint that is not warming would receive nearly all connections and be late. */
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

package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.end;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;

/** Admission of new connections: depth curve, token buckets and pending limits. */
class AdmissionControlTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    @Test
    void curveIsUnlimitedAtLowDepthThenFallsToZero() {
        DepthCurve curve = new DepthCurve(8);
        assertEquals(Double.POSITIVE_INFINITY, curve.rateAt(0));
        assertEquals(Double.POSITIVE_INFINITY, curve.rateAt(0.2));
        double last = curve.rateAt(0.25);
        assertEquals(8, last, 1e-9);
        for (double depth = 0.26; depth < 1; depth += 0.01) {
            assertTrue(curve.rateAt(depth) <= last, "falls at " + depth);
            last = curve.rateAt(depth);
        }
        assertEquals(0, curve.rateAt(1));
        assertEquals(0, curve.rateAt(7));
    }

    @Test
    void bucketGivesItsCapacityThenItsRate() {
        TokenBucket bucket = new TokenBucket(0);
        int burst = 0;
        while (bucket.tryTake(0, 2)) {
            burst++;
        }
        assertEquals(2, burst);
        assertFalse(bucket.tryTake(SECOND / 4, 2));
        assertEquals(SECOND / 4, bucket.untilTokenUs(2));
        assertTrue(bucket.tryTake(SECOND / 2, 2));
        assertFalse(bucket.tryTake(SECOND / 2, 0));
    }

    @Test
    void rejectsBusyTenantAndAdmitsIdleTenantWhenEndpointsAreFull() {
        Balancer balancer = setup.balancerWithEndpoints(1);
        long id = 0;
        // No attempt is established, so the only endpoint reaches its pending limit and the depth is 1.
        for (int i = 0; i < 30; i++) {
            balancer.requestArrived(i * 1000L, request(++id, 0, null, 2 * SECOND));
        }
        List<String> busy = recorder.take();
        assertTrue(busy.contains("reject 30"), busy.toString());
        assertEquals(
                1,
                busy.stream()
                        .filter(line -> line.startsWith("log rejecting requests: "))
                        .count(),
                "one line per ten seconds");
        balancer.requestArrived(40_000, request(++id, 1, null, 2 * SECOND));
        assertEquals(List.of("start 31 " + endpointName(0)), recorder.take());
    }

    @Test
    void acceptancesRaisePendingLimitAndFullOutcomeHalvesIt() {
        // Eight acceptances raise the pending limit from 4 to 12, so each pending attempt adds less to the depth.
        Balancer balancer = setup.balancerWithEndpoints(1);
        for (long id = 1; id <= 8; id++) {
            balancer.requestArrived(id, request(id));
            balancer.attemptEstablished(id, id, 0, 1000);
        }
        recorder.take();
        for (long id = 11; id <= 16; id++) {
            balancer.requestArrived(id, request(id));
        }
        // Three are admitted at a depth below a quarter, then one by the bucket's last token; with a limit of 4 it
        // would be two.
        assertEquals(
                4,
                recorder.take().stream()
                        .filter(line -> line.startsWith("start"))
                        .count());
        // Two FULL outcomes halve the limit twice, from 12 to 6 to 3; the depth is two thirds, and the bucket is empty.
        end(balancer, 20, 11, 0, true, Outcome.FULL);
        end(balancer, 21, 12, 0, true, Outcome.FULL);
        for (long id = 21; id <= 30; id++) {
            balancer.requestArrived(id, request(id));
        }
        assertTrue(recorder.take().contains("reject 30"));
    }

    @Test
    void exemptArrivalsNeedNoToken() {
        Balancer balancer = setup.balancerWithEndpoints(1);
        for (long id = 1; id <= 30; id++) {
            balancer.requestArrived(id, request(id));
        }
        recorder.take();
        balancer.requestArrived(40, new NewRequest(99, 0, 0, "k", null, 2 * SECOND, 0, false, true, false));
        assertEquals(List.of("start 99 " + endpointName(0)), recorder.take());
    }
}

package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.end;
import static tulipshed.decision.BalancerSetup.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tulipshed.decision.api.DeduplicationScope;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.Outcome;

/** Retries, attempt limits and idempotency. */
class RetryPolicyTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    @Test
    void rejectsOnceWhenAttemptsAreExhausted() {
        Balancer balancer = setup.balancerWithEndpoints(8);
        balancer.requestArrived(0, request(1));
        for (int attempt = 0; attempt < setup.maxAttempts; attempt++) {
            recorder.attemptedEndpoint();
            end(balancer, attempt, 1, attempt, false, Outcome.CONNECT_FAILED);
        }
        assertEquals(List.of("reject 1"), recorder.take());
        end(balancer, 10, 1, 3, true, Outcome.CONNECT_FAILED);
        assertEquals(List.of(), recorder.take());
    }

    @Test
    void rejectsAtOnceAfterTimeoutAtDeadline() {
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.requestArrived(0, request(1));
        recorder.attemptedEndpoint();
        end(balancer, 2 * SECOND, 1, 0, false, Outcome.TIMEOUT);
        assertEquals(List.of("reject 1"), recorder.take());
    }

    @Test
    void attemptTimeoutLeavesTimeForRetry() {
        long[] timeout = {0};
        Balancer balancer = new Balancer(setup.settings(), 1, 0, new ForwardingActions(recorder) {
            @Override
            public void startAttempt(long requestId, String endpointId, long timeoutUs) {
                timeout[0] = timeoutUs;
            }
        });
        setup.listEndpoints(balancer, 0, 4);
        balancer.requestArrived(0, request(1));
        assertTrue(timeout[0] > 0 && timeout[0] <= SECOND, "timeout " + timeout[0]);
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"FULL", "CONNECT_FAILED"})
    void retriesAttemptThatNeverExecutedRegardlessOfIdempotency(Outcome outcome) {
        setup.idempotency = Idempotency.NOT_IDEMPOTENT;
        Balancer balancer = setup.balancerWithEndpoints(4);
        balancer.requestArrived(0, request(1));
        recorder.attemptedEndpoint();
        end(balancer, 1, 1, 0, false, outcome);
        recorder.attemptedEndpoint();
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void failsNonIdempotentRequestThatMayHaveExecuted(Outcome outcome) {
        setup.idempotency = Idempotency.NOT_IDEMPOTENT;
        Balancer balancer = setup.balancerWithEndpoints(4);
        balancer.requestArrived(0, request(1));
        recorder.attemptedEndpoint();
        end(balancer, 1, 1, 0, false, outcome);
        assertEquals(List.of("fail 1"), recorder.take());
    }

    @Test
    void retriesRequestWithKeyOnlyInItsCellAndWindow() {
        setup.idempotency = Idempotency.WITH_KEY;
        setup.deduplicationScope = DeduplicationScope.CELL;
        setup.maxAttempts = 9;
        Balancer balancer = setup.balancerWithEndpoints(20);
        balancer.requestArrived(0, request(1, 0, null, 20 * SECOND));
        int first = Integer.parseInt(recorder.attemptedEndpoint().substring(6));
        end(balancer, SECOND, 1, 0, false, Outcome.TIMEOUT);
        int second = Integer.parseInt(recorder.attemptedEndpoint().substring(6));
        assertEquals(first / 2, second / 2, "same cell");
        end(balancer, 6 * SECOND, 1, 1, false, Outcome.FULL);
        assertEquals(
                List.of("fail 1"),
                recorder.take(),
                "the deduplication window is over, and a rejection would tell the client that a retry is safe");
    }

    @Test
    void failsRequestWithKeyWhenItsCellIsRemoved() {
        setup.idempotency = Idempotency.WITH_KEY;
        setup.deduplicationScope = DeduplicationScope.CELL;
        Balancer balancer = setup.balancerWithEndpoints(4);
        balancer.requestArrived(0, request(1));
        int first = Integer.parseInt(recorder.attemptedEndpoint().substring(6));
        int sameCell = first ^ 1;
        balancer.endpointsChanged(
                1, EndpointListKind.CHANGES, List.of(setup.endpoint(sameCell, EndpointStatus.REMOVED, 0)));
        balancer.endpointsChanged(
                1, EndpointListKind.CHANGES, List.of(setup.endpoint(first, EndpointStatus.REMOVED, 0)));
        end(balancer, 1_800_000, 1, 0, false, Outcome.RESET);
        assertEquals(List.of("fail 1"), recorder.take());
    }

    @Test
    void retriesRequestWithKeyAnywhereWhereAllEndpointsDeduplicate() {
        setup.idempotency = Idempotency.WITH_KEY;
        setup.maxAttempts = 2;
        Balancer balancer = setup.balancerWithEndpoints(20);
        balancer.requestArrived(0, request(1));
        recorder.attemptedEndpoint();
        end(balancer, 1, 1, 0, false, Outcome.RESET);
        recorder.attemptedEndpoint();
        end(balancer, 2, 1, 1, false, Outcome.RESET);
        assertEquals(List.of("reject 1"), recorder.take());
    }
}

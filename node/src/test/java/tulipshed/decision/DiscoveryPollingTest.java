package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointListKind;

/** Polls of the discovery service. */
class DiscoveryPollingTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    /** A change must arrive within 6 s after discovery has it, even after failed polls. */
    @Test
    void pollsWithinTimeAllowedAndSoonAfterAnyNumberOfFailures() {
        setup.polledDiscovery = true;
        Balancer balancer = setup.balancer(5);
        String[] timer = recorder.take().get(0).split(" ");
        assertTrue(Long.parseLong(timer[1]) <= 10 * SECOND);
        List<Long> waits = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            balancer.timerFired(0, Long.parseLong(timer[2]));
            assertEquals(List.of("watch"), recorder.take());
            balancer.endpointsChanged(0, EndpointListKind.FAILED, List.of());
            timer = recorder.take().get(0).split(" ");
            waits.add(Long.parseLong(timer[1]));
        }
        assertTrue(waits.stream().allMatch(waitUs -> waitUs >= SECOND / 2 && waitUs < 2 * SECOND), waits.toString());
        // The delays are random, so that balancers whose polls failed together do not poll together again.
        assertTrue(waits.stream().mapToLong(waitUs -> waitUs).max().getAsLong()
                        - waits.stream().mapToLong(waitUs -> waitUs).min().getAsLong()
                > SECOND);
    }
}

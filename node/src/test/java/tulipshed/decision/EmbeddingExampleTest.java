package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;

/** Runs the embedding example of the README. */
class EmbeddingExampleTest {
    @Test
    void exampleOfReadmeWorks() {
        BalancerSettings settings = new BalancerSetup().settings();
        RecordingActions actions = new RecordingActions();
        long seed = 7;
        long nowUs = 1_000_000;
        List<EndpointInfo> entries =
                List.of(new EndpointInfo("10.0.0.1:80", EndpointStatus.SERVING, "zone", 0, "kind", 1, 0));

        Balancer balancer = new Balancer(settings, seed, nowUs, actions);
        balancer.endpointsChanged(nowUs, EndpointListKind.COMPLETE, entries);
        balancer.requestArrived(nowUs, new NewRequest(1, 0, 0, "key", null, 2_000_000, 0, false, false, false));
        assertEquals(List.of("start 1 10.0.0.1:80"), actions.take());
        balancer.attemptEstablished(nowUs, 1, 0, 12_000);
        balancer.attemptEnded(nowUs, 1, 0, true, Outcome.OK, LoadReport.NONE);
        assertEquals(List.of(), actions.take());
        assertEquals(0, balancer.parts.requests.size());
    }
}

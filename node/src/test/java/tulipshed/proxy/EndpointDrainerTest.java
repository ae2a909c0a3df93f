package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointStatus;

/** The end of attempts that must leave a draining endpoint. */
class EndpointDrainerTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void attemptsLeaveDrainingEndpointWithinGracePeriod() {
        fixture.mustLeaveDraining = true;
        Attempt established = fixture.startAttempt(2000);
        fixture.core.attemptEstablished(established);
        fixture.startAttempt(2000);
        fixture.takeRecorded();
        fixture.updateEndpoint("s-1", EndpointStatus.DRAINING);
        fixture.advance(200);
        List<String> recorded = fixture.takeRecorded();
        assertTrue(recorded.contains("client: migrate") && recorded.contains("ended 0 RESET"), recorded.toString());
        assertFalse(recorded.contains("client: fail"), recorded.toString());
    }
}

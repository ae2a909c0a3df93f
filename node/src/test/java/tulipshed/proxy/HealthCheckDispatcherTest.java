package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointStatus;

/** Health checks that the decision module requests. */
class HealthCheckDispatcherTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void completesAsUnusedWithoutHealthChecker() {
        fixture.decisions.startHealthCheck("s-1");
        fixture.core.runBatch();
        assertEquals(List.of("health check s-1 UNUSED"), fixture.takeRecorded());
    }

    @Test
    void checksOnlyServingEndpoints() {
        ProxyCoreFixture fixture = new ProxyCoreFixture("\"Probes\": false", "\"Probes\": true");
        fixture.core.setHealthChecker(endpoint -> fixture.recorded.add("check " + endpoint.id()));
        fixture.updateEndpoint("s-2", EndpointStatus.DRAINING);
        fixture.takeRecorded();
        fixture.decisions.startHealthCheck("s-1");
        fixture.decisions.startHealthCheck("s-2");
        fixture.core.runBatch();
        assertEquals(List.of("check s-1", "health check s-2 UNUSED"), fixture.takeRecorded());
    }
}

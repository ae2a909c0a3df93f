package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Migration of established connections. */
class ConnectionMigratorTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void migratesClientOnceFromUnresponsiveEndpoint() {
        Attempt attempt = fixture.startAttempt(2000);
        assertTrue(fixture.core.attemptEstablished(attempt));
        fixture.core.endpointUnresponsive(attempt);
        fixture.core.endpointUnresponsive(attempt);
        assertEquals(
                List.of(
                        "WARN core: endpoint s-1 unresponsive: migrating its client",
                        "client: migrate",
                        "established 0",
                        "ended 0 RESET concluded"),
                fixture.takeRecorded());
    }

    @Test
    void migratesInOrderOfEstablishment() {
        Attempt first = fixture.startAttempt(2000);
        Attempt second = fixture.startAttempt(2000);
        fixture.core.attemptEstablished(second);
        fixture.core.attemptEstablished(first);
        assertTrue(fixture.core.migrateOldest());
        assertFalse(second.request().isEstablished());
        assertTrue(first.request().isEstablished());
        assertEquals(1, fixture.core.establishedCount());
    }
}

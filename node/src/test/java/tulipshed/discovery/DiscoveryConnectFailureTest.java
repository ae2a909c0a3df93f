package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Calls to discovery that fail locally, before anything is sent, are retried like any others, so that a change is still
 * known within 6 s.
 */
class DiscoveryConnectFailureTest extends EndpointWatchFixture {
    /** An address to which the kernel refuses to connect with ENETUNREACH, before it sends anything. */
    private static final InetSocketAddress UNREACHABLE = new InetSocketAddress("127.255.255.255", 9);

    private static final int FAILURES = 4;
    private static final long MAX_PAUSE_MS = 2_000;
    private static final long MIN_PAUSE_MS = 500;

    @Test
    void localFailureIsRepeatedWithinTwoSecondsWithoutSpinning() throws Exception {
        acceptConnection().close();
        assertEquals("FAILED 0", nextNotification());
        forwardsToBalancer = true;
        loop.execute(() -> {
            core.setEndpointListSource(watch);
            watch.setDiscoveryAddress(UNREACHABLE);
        });
        assertEquals("FAILED 0", nextNotification());
        long startedNs = System.nanoTime();
        for (int i = 0; i < FAILURES; i++) {
            assertEquals("FAILED 0", notifications.poll(MAX_PAUSE_MS + 500, TimeUnit.MILLISECONDS));
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
        assertTrue(elapsedMs >= FAILURES * MIN_PAUSE_MS, FAILURES + " calls in " + elapsedMs + " ms");
        assertTrue(elapsedMs <= FAILURES * MAX_PAUSE_MS, FAILURES + " calls in " + elapsedMs + " ms");
        CompletableFuture<Integer> openCount = new CompletableFuture<>();
        loop.execute(() -> openCount.complete(loop.openConnections()));
        assertEquals(0, openCount.get(5, TimeUnit.SECONDS), "open descriptors after failed calls");
        loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) discovery.getLocalSocketAddress()));
        try (Socket recovered = acceptConnection()) {
            readRequest(recovered);
            respond(recovered, "200 OK", listJson(42, true));
            assertEquals("COMPLETE 1", nextNotification());
        }
    }
}

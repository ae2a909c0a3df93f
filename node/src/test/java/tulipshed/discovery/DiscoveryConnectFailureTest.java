package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Calls to discovery that this machine cannot even begin: they are repeated as any others, so that the 6 s hold. */
class DiscoveryConnectFailureTest extends EndpointWatchFixture {
    /** The kernel refuses to connect to it as ENETUNREACH before it sends anything. */
    private static final InetSocketAddress UNREACHABLE = new InetSocketAddress("127.255.255.255", 9);

    private static final int FAILURES = 4;
    private static final long LONGEST_PAUSE_MS = 2_000;
    private static final long SHORTEST_PAUSE_MS = 500;

    @Test
    void localFailureIsRepeatedWithinTwoSecondsWithoutSpinning() throws Exception {
        acceptConnection().close();
        assertEquals("FAILED 0", nextNotification());
        schedulesCalls = true;
        loop.execute(() -> {
            core.setEndpointListSource(watch);
            watch.setDiscoveryAddress(UNREACHABLE);
        });
        assertEquals("FAILED 0", nextNotification());
        long startedNs = System.nanoTime();
        for (int i = 0; i < FAILURES; i++) {
            assertEquals("FAILED 0", notifications.poll(LONGEST_PAUSE_MS + 500, TimeUnit.MILLISECONDS));
        }
        long takenMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
        assertTrue(takenMs >= FAILURES * SHORTEST_PAUSE_MS, FAILURES + " calls in " + takenMs + " ms");
        assertTrue(takenMs <= FAILURES * LONGEST_PAUSE_MS, FAILURES + " calls in " + takenMs + " ms");
        CompletableFuture<Integer> open = new CompletableFuture<>();
        loop.execute(() -> open.complete(loop.openConnections()));
        assertEquals(0, open.get(5, TimeUnit.SECONDS), "descriptors of calls that failed");
        loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) discovery.getLocalSocketAddress()));
        try (Socket recovered = acceptConnection()) {
            readRequest(recovered);
            respond(recovered, "200 OK", listJson(42, true));
            assertEquals("COMPLETE 1", nextNotification());
        }
    }
}

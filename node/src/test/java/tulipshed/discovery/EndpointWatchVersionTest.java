package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests of which list the watch requests: changes since a version, immediate changes, or the full list. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class EndpointWatchVersionTest extends EndpointWatchFixture {
    /** Otherwise a process that takes over would learn of the last change only when the next one occurs. */
    @Test
    void catchUpRequestsImmediateResponse() throws Exception {
        try (Socket socket = discovery.accept()) {
            readRequest(socket);
            respond(socket, "503 Service Unavailable", "");
            assertEquals("FAILED 0", nextNotification());
        }
        loop.execute(watch::catchUp);
        try (Socket socket = discovery.accept()) {
            assertTrue(readRequest(socket).startsWith("GET /discovery/hosts?index=41&wait=0 "));
            respond(socket, "200 OK", listJson(42, false));
            assertEquals("CHANGES 1", nextNotification());
            assertTrue(readRequest(socket).startsWith("GET /discovery/hosts?index=42&wait=2500 "));
        }
    }

    /** Regression: a process that took over called only after the response to the call in progress. */
    @Test
    void catchUpReplacesCallInProgress() throws Exception {
        try (Socket replaced = acceptConnection()) {
            readRequest(replaced);
            loop.execute(watch::catchUp);
            try (Socket current = acceptConnection()) {
                assertTrue(readRequest(current).startsWith("GET /discovery/hosts?index=41&wait=0 "));
                assertEquals(-1, replaced.getInputStream().read(), "abandoned in favour of the new call");
                assertTrue(notifications.isEmpty());
            }
        }
    }

    @Test
    void requestsFullListAfterChangesToOlderVersion() throws Exception {
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
            respond(socket, "200 OK", listJson(7, false));
            assertEquals("CHANGES 1", nextNotification());
            assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(socket));
            respond(socket, "200 OK", listJson(8, true));
            assertEquals("COMPLETE 1", nextNotification());
            assertTrue(readRequest(socket).contains("index=8&"));
        }
    }

    private boolean adopt(int version, String discoveryAddress) throws Exception {
        SharedEndpointList shared = new SharedEndpointList(
                discoveryAddress == null ? "127.0.0.1:" + discovery.getLocalPort() : discoveryAddress,
                true,
                new EndpointListUpdate(version, true, List.of()));
        CompletableFuture<Boolean> adopted = new CompletableFuture<>();
        loop.execute(() -> adopted.complete(watch.adopt(shared)));
        return adopted.get(5, TimeUnit.SECONDS);
    }

    /** Guards against a response in flight that brings back what the newer list of the other process has changed. */
    @Test
    void ignoresResponseThatIsOlderThanListOfOtherProcess() throws Exception {
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
            assertTrue(adopt(43, null));
            respond(socket, "200 OK", listJson(42, false));
            assertTrue(readRequest(socket).startsWith("GET /discovery/hosts?index=43&wait=0 "));
            assertTrue(notifications.isEmpty());
            respond(socket, "200 OK", listJson(44, false));
            assertEquals("CHANGES 1", nextNotification());
        }
    }

    /** Guards against an older list of the other process in place of a newer one. */
    @Test
    void usesListOfOtherProcessOnlyIfItIsNewer() throws Exception {
        Socket replaced = acceptConnection();
        assertFalse(adopt(41, null));
        assertTrue(adopt(3, "127.0.0.1:1"), "a received list of another service replaces the cached one");
        try (Socket socket = acceptConnection()) {
            readRequest(replaced);
            assertEquals(-1, replaced.getInputStream().read(), "abandoned");
            assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(socket), "changes would be to another list");
            respond(socket, "200 OK", listJson(44, true));
            assertEquals("COMPLETE 1", nextNotification());
            assertFalse(adopt(99, "127.0.0.1:1"), "versions of different services cannot be compared");
        }
    }
}

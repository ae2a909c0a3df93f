package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Watch of an agent on the node's machine to which lists are pushed. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class EndpointWatchAgentTest extends EndpointWatchFixture {
    /**
     * Regression: with an agent, the watch never polled, so the node kept the list it had at startup.
     */
    @Test
    void pollsAgentWithoutRequestAndAgainAfterEachFailure() throws Exception {
        acceptConnection().close();
        assertEquals("FAILED 0", nextNotification());
        loop.execute(() -> watch.setPushed(true));
        // The failures are a reset, an end without a response, an error status, and no response at all.
        try (Socket socket = acceptConnection()) {
            assertTrue(readRequest(socket).startsWith("GET /discovery/hosts?index=41&wait=1000 "));
            socket.setSoLinger(true, 0);
        }
        assertEquals("FAILED 0", nextNotification());
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
        }
        assertEquals("FAILED 0", nextNotification());
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
            respond(socket, "503 Service Unavailable", "");
            assertEquals("FAILED 0", nextNotification());
        }
        try (Socket silent = acceptConnection()) {
            readRequest(silent);
            assertEquals("FAILED 0", nextNotification(), "reported within the time in which a drain has to be known");
        }
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
            respond(socket, "200 OK", listJson(42, true));
            assertEquals("COMPLETE 1", nextNotification());
            assertTrue(readRequest(socket).contains("index=42&"));
        }
    }

    /** Agents may respond at once although nothing changed; the watch must not poll in a busy loop. */
    @Test
    void pausesBetweenPollsOfAgentWithoutChanges() throws Exception {
        acceptConnection().close();
        assertEquals("FAILED 0", nextNotification());
        loop.execute(() -> watch.setPushed(true));
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
            long startedNs = System.nanoTime();
            int calls = 20;
            for (int i = 0; i < calls; i++) {
                respond(socket, "200 OK", "{\"version\":41,\"full\":false,\"servers\":[]}");
                assertEquals("CHANGES 0", nextNotification());
                readRequest(socket);
            }
            assertTrue((System.nanoTime() - startedNs) / 1e6 >= calls * 90.0, "calls without a pause");
        }
    }
}

package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
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
}

package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.time.SystemWallClock;

/** Tests of the calls of the watch and of the results it passes on. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class EndpointWatchTest extends EndpointWatchFixture {
    @Test
    void deliversEachResponseAndCallsAgainOnSameConnection() throws Exception {
        try (Socket socket = discovery.accept()) {
            assertTrue(readRequest(socket).startsWith("GET /discovery/hosts?index=41&wait="));
            respond(socket, "200 OK", listJson(42, true));
            assertEquals("COMPLETE 1", nextNotification());
            assertTrue(readRequest(socket).contains("index=42&"));
            respond(socket, "200 OK", listJson(43, false));
            assertEquals("CHANGES 1", nextNotification());
            assertTrue(readRequest(socket).contains("index=43&"));
        }
        assertEquals("FAILED 0", nextNotification());
    }

    @Test
    void reconnectsAfterServerClosedConnection() throws Exception {
        try (Socket socket = discovery.accept()) {
            readRequest(socket);
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + listJson(42, true))
                            .getBytes(StandardCharsets.US_ASCII));
        }
        assertEquals("COMPLETE 1", nextNotification());
        try (Socket socket = discovery.accept()) {
            assertTrue(readRequest(socket).contains("index=42&"));
        }
    }

    /** After a failure, the decision module decides when to call again. */
    @Test
    void reportsEachFailureOnceAndWaitsForNextWatchRequest() throws Exception {
        for (String response : List.of("503 Service Unavailable|", "200 OK|{", "200 OK|{\"version\":1}")) {
            try (Socket socket = discovery.accept()) {
                readRequest(socket);
                respond(
                        socket,
                        response.substring(0, response.indexOf('|')),
                        response.substring(response.indexOf('|') + 1));
                assertEquals("FAILED 0", nextNotification(), response);
                assertEquals(-1, socket.getInputStream().read(), "closed without another call");
            }
            loop.execute(watch::watch);
        }
        try (Socket socket = discovery.accept()) {
            readRequest(socket);
            socket.setSoLinger(true, 0);
        }
        assertEquals("FAILED 0", nextNotification());
        assertTrue(notifications.isEmpty());
    }

    /** Otherwise a node whose clients have all migrated would not shut down, because of the connection of its watch. */
    @Test
    void closesConnectionAndMakesNoCallAfterStop() throws Exception {
        try (Socket socket = discovery.accept()) {
            readRequest(socket);
            loop.execute(watch::stop);
            loop.execute(watch::watch);
            assertEquals(-1, socket.getInputStream().read());
            loop.execute(() -> notifications.add("open " + watch.isConnected()));
            assertEquals("open false", nextNotification(), "and no failure is reported");
        }
    }

    /**
     * Regression: the start was interpreted as a time of the node's own clock, so a new endpoint could appear to be an
     * hour old.
     */
    @Test
    void startCountsFromItsNotificationWhateverItsClockShows() throws Exception {
        long hourMs = 3_600_000;
        long nowMs = new SystemWallClock().now().epochMs();
        try (Socket socket = discovery.accept()) {
            readRequest(socket);
            respond(socket, "200 OK", listJson(42, true));
            assertEquals("COMPLETE 1", nextNotification());
            agesUs.clear();
            int version = 43;
            for (long startedMs : List.of(nowMs - hourMs, nowMs + hourMs, nowMs - 3_000, nowMs + 3_000)) {
                readRequest(socket);
                respond(
                        socket,
                        "200 OK",
                        listJson(version++, false).replace("\"state\"", "\"started_ms\":" + startedMs + ",\"state\""));
                assertEquals("CHANGES 1", nextNotification());
                long ageUs = agesUs.remove();
                assertTrue(ageUs >= 0 && ageUs < 2_000_000, "age " + ageUs);
            }
        }
    }
}

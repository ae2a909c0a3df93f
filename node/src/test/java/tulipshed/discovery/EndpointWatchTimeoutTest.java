package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.testing.ListenerBacklog;

/** Tests of the deadlines of the steps of a call. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class EndpointWatchTimeoutTest extends EndpointWatchFixture {
    /**
     * Regression: a missing response was detected after 12 s and the call retried a second later, so the node used
     * endpoints that were draining.
     */
    @Test
    void reopensSilentWatchAtOnceWithoutWaiting() throws Exception {
        useTimeouts(60_000, 100, 100, 60_000);
        try (Socket silent = acceptConnection()) {
            assertTrue(readRequest(silent).startsWith("GET /discovery/hosts?index=41&wait=100 "));
            try (Socket reopened = acceptConnection()) {
                assertTrue(readRequest(reopened).startsWith("GET /discovery/hosts?index=41&wait=0 "));
                assertEquals(-1, silent.getInputStream().read(), "the call without a response is abandoned");
                assertTrue(notifications.isEmpty(), "without a request by the decision module");
                respond(reopened, "200 OK", listJson(42, false));
                assertEquals("CHANGES 1", nextNotification());
                assertTrue(readRequest(reopened).startsWith("GET /discovery/hosts?index=42&wait=100 "));
            }
        }
    }

    /**
     * Regression: after two calls in a row without a response a pause followed, and a drain was known up to 7.5 s after
     * discovery had it. If the third call gets no response either, discovery is faulty, and the decision module spreads
     * the calls.
     */
    @Test
    void repeatsSecondSilentCallAtOnceAndReportsThirdAsFailure() throws Exception {
        useTimeouts(60_000, 100, 100, 60_000);
        try (Socket silent = acceptConnection();
                Socket reopened = acceptConnection()) {
            readRequest(silent);
            assertTrue(readRequest(reopened).contains("&wait=0 "));
            try (Socket again = acceptConnection()) {
                assertTrue(readRequest(again).contains("&wait=0 "));
                assertEquals(-1, reopened.getInputStream().read(), "the call without a response is abandoned");
                assertTrue(notifications.isEmpty(), "without a request by the decision module");
                assertEquals("FAILED 0", nextNotification());
                assertEquals(-1, again.getInputStream().read(), "closed");
                loop.execute(() -> notifications.add("open " + watch.isConnected()));
                assertEquals("open false", nextNotification(), "and no further call");
            }
        }
    }

    /** A response resets the number of immediate retries. */
    @Test
    void repeatsSilentCallsAtOnceAgainAfterAResponse() throws Exception {
        useTimeouts(60_000, 100, 100, 60_000);
        try (Socket silent = acceptConnection();
                Socket reopened = acceptConnection();
                Socket again = acceptConnection()) {
            readRequest(silent);
            readRequest(reopened);
            readRequest(again);
            respond(again, "200 OK", listJson(42, false));
            assertEquals("CHANGES 1", nextNotification());
            assertTrue(readRequest(again).contains("index=42&wait=100 "));
            try (Socket third = acceptConnection();
                    Socket fourth = acceptConnection()) {
                assertTrue(readRequest(third).contains("&wait=0 "));
                assertTrue(readRequest(fourth).contains("&wait=0 "));
            }
        }
    }

    /**
     * Regression: if a call that replaced a long poll, to catch up with the other process of a hot restart, got no
     * response, a pause followed, although the long poll had already waited for seconds.
     */
    @Test
    void repeatsSilentCatchUpOfAWatchAtOnce() throws Exception {
        EndpointWatch shortTimeoutWatch = useTimeouts(60_000, 60_000, 300, 60_000);
        try (Socket first = acceptConnection()) {
            readRequest(first);
            respond(first, "200 OK", listJson(42, false));
            assertEquals("CHANGES 1", nextNotification());
            assertTrue(readRequest(first).contains("index=42&wait=60000 "));
            loop.execute(shortTimeoutWatch::catchUp);
            try (Socket silent = acceptConnection()) {
                assertTrue(readRequest(silent).contains("index=42&wait=0 "));
                try (Socket repeated = acceptConnection()) {
                    assertTrue(readRequest(repeated).contains("index=42&wait=0 "));
                    assertTrue(notifications.isEmpty(), "without a request by the decision module");
                }
            }
        }
    }

    /** Regression: with one timeout for the entire call, a hanging connect was detected after 12 s. */
    @Test
    void abandonsConnectionAttemptAfterConnectTimeout() throws Exception {
        withHangingConnects(watchOfFullListener -> assertEquals("FAILED 0", nextNotification()));
    }

    /**
     * Regression: a call whose response was incomplete, or arrived byte by byte, was kept for 12 s; after two of these
     * in a row a pause followed.
     */
    @Test
    void reopensWatchAfterIncompleteResponse() throws Exception {
        useTimeouts(60_000, 60_000, 60_000, 200);
        try (Socket incomplete = acceptConnection()) {
            readRequest(incomplete);
            incomplete
                    .getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{".getBytes(StandardCharsets.US_ASCII));
            try (Socket slow = acceptConnection()) {
                assertTrue(readRequest(slow).contains("&wait=0 "));
                sendSlowly(slow);
                try (Socket again = acceptConnection()) {
                    assertTrue(readRequest(again).contains("&wait=0 "));
                    assertTrue(notifications.isEmpty(), "without a request by the decision module");
                    sendSlowly(again);
                    assertEquals("FAILED 0", nextNotification(), "after two repeats, the decision module is notified");
                }
            }
        }
    }

    /** Regression: a discovery whose connections come up later than the timeout was never reached. */
    @Test
    void waitsLongerForConnectionAfterConnectTimeout() throws Exception {
        withHangingConnects(watchOfFullListener -> {
            assertEquals("FAILED 0", nextNotification());
            long startedNs = System.nanoTime();
            loop.execute(watchOfFullListener::watch);
            assertEquals("FAILED 0", nextNotification());
            assertTrue(System.nanoTime() - startedNs >= 390_000_000, "400 ms after one connect timeout of 200 ms");
        });
    }

    /** Assertions about a watch. */
    private interface WatchAssertions {
        void check(EndpointWatch checkedWatch) throws Exception;
    }

    /** Checks a watch with a connect timeout of 200 ms whose connection attempts hang. */
    private void withHangingConnects(WatchAssertions assertions) throws Exception {
        EndpointWatch shortTimeoutWatch = useTimeouts(200, 60_000, 60_000, 60_000);
        try (Socket replaced = acceptConnection();
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> queued = ListenerBacklog.fill(full);
            loop.execute(() -> shortTimeoutWatch.setDiscoveryAddress((InetSocketAddress) full.getLocalSocketAddress()));
            assertions.check(shortTimeoutWatch);
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    /** Regression: a discovery whose responses take longer to arrive than the timeout was never heard. */
    @Test
    void waitsLongerForTheRestOfAResponseAfterAnIncompleteOne() throws Exception {
        useTimeouts(60_000, 60_000, 60_000, 200);
        try (Socket watch = acceptConnection()) {
            readRequest(watch);
            sendSlowly(watch);
            try (Socket retry = acceptConnection()) {
                readRequest(retry);
                sendSlowly(retry);
                try (Socket longer = acceptConnection()) {
                    readRequest(longer);
                    long startedNs = System.nanoTime();
                    sendSlowly(longer);
                    assertEquals("FAILED 0", nextNotification());
                    assertTrue(System.nanoTime() - startedNs >= 390_000_000, "400 ms after a timeout of 200 ms");
                }
            }
        }
    }

    /** Sends a byte every few milliseconds until the remote end closes the connection. */
    private static void sendSlowly(Socket receiver) throws IOException {
        new Thread(() -> {
                    try {
                        for (byte b :
                                ("HTTP/1.1 200 OK\r\nX: " + "x".repeat(2000)).getBytes(StandardCharsets.US_ASCII)) {
                            receiver.getOutputStream().write(b);
                            Thread.sleep(5);
                        }
                    } catch (IOException | InterruptedException ended) {
                        return;
                    }
                })
                .start();
    }

    /**
     * The decision module pauses for less than 2 s after a failure, as DiscoveryPollingTest checks. With such a pause,
     * each of these sequences of steps fits into the 6 s within which a change has to be known.
     */
    @Test
    void timeoutsOfAllStepsFitIntoSixSeconds() {
        assertTrue(
                DEFAULTS.watchWaitMs() + DEFAULTS.watchTimeoutMs() + 2_000 <= 6_000,
                "reset or refused just before the timeout");
        assertTrue(
                DEFAULTS.watchWaitMs()
                                + DEFAULTS.watchTimeoutMs()
                                + DEFAULTS.connectTimeoutMs()
                                + DEFAULTS.watchTimeoutMs()
                        <= 6_000,
                "no response");
        assertTrue(
                DEFAULTS.watchWaitMs() + ImmediateRetries.MAX_RETRIES * DEFAULTS.watchTimeoutMs() < 6_000,
                "the last repeated call begins in time after two without a response");
        assertTrue(
                DEFAULTS.connectTimeoutMs() + 2_000 + DEFAULTS.connectTimeoutMs() + DEFAULTS.watchTimeoutMs() <= 6_000,
                "a hanging connect");
        assertTrue(
                DEFAULTS.maxConnectTimeoutMs() + 2_000 + DEFAULTS.lateResponseTimeoutMs() <= 6_000,
                "a hanging connect, and then a late response");
        assertTrue(
                DEFAULTS.watchTimeoutMs() + DEFAULTS.responseTimeoutMs() + 2_000 + DEFAULTS.watchTimeoutMs() <= 6_000,
                "a slow response that starts late");
    }
}

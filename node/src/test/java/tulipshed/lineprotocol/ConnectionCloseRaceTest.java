package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.limits.Limits;
import tulipshed.limits.SocketLimits;

/** A client connection that is closed just as more of its input arrives. */
class ConnectionCloseRaceTest extends RaceConditionFixture {
    /** Without a last read, a client whose open command arrives at the timeout would be sent ERR with its bytes unread. */
    @Test
    void servesOpenCommandThatArrivesAsItsTimeoutExpires() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() ->
                    frontend.unservedConnections().overdue(Double.MAX_VALUE).forEach(ClientSession::onOpenTimeout));
            client.send(OPEN_COMMAND);
            releaseLoopAndAwaitTask();
            assertServed(client);
        }
    }

    @Test
    void servesOpenCommandThatArrivesAsItsConnectionIsEvicted() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() -> frontend.unservedConnections().evictOne());
            client.send(OPEN_COMMAND);
            releaseLoopAndAwaitTask();
            assertServed(client);
        }
    }

    @Test
    void servesOpenCommandThatArrivesAsOpeningClientsAreRejected() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() -> frontend.rejectOpeningClients());
            client.send(OPEN_COMMAND);
            releaseLoopAndAwaitTask();
            assertServed(client);
        }
    }

    private void assertServed(LineSocket client) throws IOException {
        try (LineSocket endpoint = acceptUpstream()) {
            endpoint.readLine();
            endpoint.send("UP r1\r\n");
            assertEquals("UP r1", client.readLine());
        }
    }

    /**
     * Asserts that the connection was closed without a reset. Reading yields the end of stream in either case, but the
     * kernel accepts a write only if no reset was received.
     */
    private void assertClosedWithoutReset(LineSocket client) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        loop.execute(closed::countDown);
        await(closed);
        assertNull(client.readLine());
        client.send("and still no reset\r\n");
    }

    /** Closing with unread bytes would send a reset, and the client could lose its BUSY. */
    @ParameterizedTest
    @ValueSource(strings = {"", "OPEN 9b", "frob\r\n"})
    void evictedClientReadsResponseAndEndOfStreamDespiteUnreadBytes(String unread) throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() -> assertTrue(frontend.unservedConnections().evictOne()));
            client.send(unread);
            releaseLoopAndAwaitTask();
            String response = client.readLine();
            assertTrue(response.equals("ERR") || response.matches("BUSY [0-9]+"), response);
            assertClosedWithoutReset(client);
        }
    }

    /** A client that continues to send after its last line is also closed without a reset. */
    @Test
    void evictedAnsweredClientSeesEndOfStreamDespiteUnreadBytes() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("frob\r\n");
            assertEquals("ERR", client.readLine());
            holdLoopThenRun(() -> assertTrue(frontend.unservedConnections().evictOne()));
            client.send("OPEN and more that nobody wants\r\n");
            releaseLoopAndAwaitTask();
            assertClosedWithoutReset(client);
        }
    }

    /** More input arrives as the linger timeout expires: the connection still closes without a reset. */
    @Test
    void clientPastLingerTimeoutSeesEndOfStreamDespiteUnreadBytes() throws Exception {
        stop();
        Limits defaults = Limits.forDescriptors(1024);
        SocketLimits sockets = defaults.sockets();
        long lingerMs = 300;
        start(defaults.with(new SocketLimits(
                sockets.relayBytes(),
                sockets.readBytes(),
                sockets.descriptors(),
                sockets.reservedDescriptors(),
                sockets.backlog(),
                sockets.maxReadsPerEvent(),
                sockets.maxAcceptsPerEvent(),
                lingerMs,
                sockets.sweepIntervalMs(),
                sockets.overloadRetryAfterMs(),
                sockets.emergencyDescriptors(),
                sockets.maxAcceptAttempts(),
                sockets.acceptRetryDelayMs())));
        try (LineSocket client = connectClient()) {
            client.send("frob\r\n");
            assertEquals("ERR", client.readLine());
            // Held until the linger timeout has expired, so that it is handled next, while the bytes are unread.
            holdLoopThenRun(() -> {
                long untilNs = System.nanoTime() + lingerMs * 1_000_000;
                while (System.nanoTime() < untilNs) {
                    Thread.onSpinWait();
                }
            });
            client.send("OPEN and more that nobody wants\r\n");
            releaseLoopAndAwaitTask();
            assertClosedWithoutReset(client);
        }
    }

    /** Input after the last line is read and discarded, even an open command. */
    @Test
    void doesNotForwardRequestSentAfterFinalResponse() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() -> {
                frontend.rejectOpeningClients();
                assertFalse(frontend.unservedConnections().opening().iterator().hasNext());
            });
            releaseLoopAndAwaitTask();
            assertTrue(client.readLine().matches("BUSY [0-9]+"));
            client.send(OPEN_COMMAND);
            assertNull(client.readLine());
        }
        assertNothingForwardedBeforeNextClient();
    }
}

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

/** Closing a client connection just as more input of it arrives. */
class ConnectionCloseRaceTest extends RaceConditionFixture {
    /** Otherwise a client whose command arrives at the last moment would be sent ERR over unread bytes. */
    @Test
    void servesOpenCommandThatArrivesAsItsTimeoutExpires() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() ->
                    frontend.unservedConnections().overdue(Double.MAX_VALUE).forEach(ClientSession::onOpenTimeout));
            client.send(OPEN_COMMAND);
            releaseLoopAndAwaitDecision();
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
            releaseLoopAndAwaitDecision();
            assertServed(client);
        }
    }

    @Test
    void servesOpenCommandThatArrivesAsWaitingClientsAreRejected() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() -> frontend.rejectWaitingClients());
            client.send(OPEN_COMMAND);
            releaseLoopAndAwaitDecision();
            assertServed(client);
        }
    }

    private void assertServed(LineSocket client) throws IOException {
        try (LineSocket server = acceptUpstream()) {
            server.readLine();
            server.send("UP r1\r\n");
            assertEquals("UP r1", client.readLine());
        }
    }

    /**
     * Reading shows the end of the stream whether a reset followed or not; but the kernel accepts a write only where none
     * did.
     */
    private void assertClosedWithoutReset(LineSocket client) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        loop.execute(closed::countDown);
        await(closed);
        assertNull(client.readLine());
        client.send("and still no reset\r\n");
    }

    /** To close over unread bytes would send a reset, and BUSY could be lost with it. */
    @ParameterizedTest
    @ValueSource(strings = {"", "OPEN 9b", "frob\r\n"})
    void evictedClientReadsResponseAndEndOfStreamDespiteUnreadBytes(String unread) throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() -> assertTrue(frontend.unservedConnections().evictOne()));
            client.send(unread);
            releaseLoopAndAwaitDecision();
            String response = client.readLine();
            assertTrue(response.equals("ERR") || response.matches("BUSY [0-9]+"), response);
            assertClosedWithoutReset(client);
        }
    }

    /** The same for a client that goes on sending after its last line. */
    @Test
    void evictedAnsweredClientSeesEndOfStreamDespiteUnreadBytes() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("frob\r\n");
            assertEquals("ERR", client.readLine());
            holdLoopThenRun(() -> assertTrue(frontend.unservedConnections().evictOne()));
            client.send("OPEN and more that nobody wants\r\n");
            releaseLoopAndAwaitDecision();
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
            // Held until the timeout has expired, so that it is handled next, with the bytes already there.
            holdLoopThenRun(() -> {
                long untilNs = System.nanoTime() + lingerMs * 1_000_000;
                while (System.nanoTime() < untilNs) {
                    Thread.onSpinWait();
                }
            });
            client.send("OPEN and more that nobody wants\r\n");
            releaseLoopAndAwaitDecision();
            assertClosedWithoutReset(client);
        }
    }

    /** The last line was the response to whatever the client sends after it, which is read and dropped. */
    @Test
    void doesNotForwardRequestSentAfterFinalResponse() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() -> {
                frontend.rejectWaitingClients();
                assertFalse(frontend.unservedConnections().opening().iterator().hasNext());
            });
            releaseLoopAndAwaitDecision();
            assertTrue(client.readLine().matches("BUSY [0-9]+"));
            client.send(OPEN_COMMAND);
            assertNull(client.readLine());
        }
        assertNextRequestIsAnotherClients();
    }
}

package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.limits.Limits;

/**
 * Events that cross, on real sockets: the loop is held at the decisive point until the other event has happened too, so
 * that each test meets the one order that it is about. docs/crossings.md has them all.
 */
class RaceConditionTest extends LineProtocolFixture {
    private static final String OTHER_OPEN_COMMAND = OPEN_COMMAND.replace("9b1f", "0ther");
    private final CountDownLatch loopHeld = new CountDownLatch(1);
    private final CountDownLatch otherEventHappened = new CountDownLatch(1);
    private final CompletableFuture<Void> decisionMade = new CompletableFuture<>();

    /** On the loop: stops there until the test says that the other event has happened. */
    private void holdLoop() {
        beforeRequestArrived = () -> {};
        beforeAttemptEnded = () -> {};
        loopHeld.countDown();
        await(otherEventHappened);
    }

    /** Holds the loop in a task of its own, and then does this at once, with nothing heard in between. */
    private void holdLoopThenRun(Runnable decision) {
        loop.execute(() -> {
            holdLoop();
            try {
                decision.run();
                decisionMade.complete(null);
            } catch (RuntimeException | AssertionError e) {
                decisionMade.completeExceptionally(e);
            }
        });
        await(loopHeld);
    }

    /** The other event has happened; returns once the loop has decided, and fails where that threw. */
    private void releaseLoopAndAwaitDecision() throws Exception {
        otherEventHappened.countDown();
        decisionMade.get(10, TimeUnit.SECONDS);
    }

    private void disconnect(LineSocket client, String how) throws IOException {
        if (how.equals("RST")) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }

    /** The first that reaches a member now is another client's. */
    private void assertNextRequestIsAnotherClients() throws IOException {
        try (LineSocket other = connectClient()) {
            other.send(OTHER_OPEN_COMMAND);
            try (LineSocket server = acceptUpstream()) {
                assertTrue(
                        String.valueOf(server.readLine()).startsWith("OPEN 0ther "),
                        "no attempt for one that has gone");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void opensNoConnectionForClientGoneBeforeFirstAttempt(String how) throws Exception {
        beforeRequestArrived = this::holdLoop;
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(loopHeld);
        disconnect(client, how);
        otherEventHappened.countDown();
        assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
        assertNextRequestIsAnotherClients();
    }

    /** Its end waits unread behind early bytes, which a client may send. */
    @Test
    void detectsEndOfStreamBehindEarlyDataBeforeFirstAttempt() throws Exception {
        beforeRequestArrived = this::holdLoop;
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(loopHeld);
        client.send("M 1 early\r\n");
        client.close();
        otherEventHappened.countDown();
        assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
        assertNextRequestIsAnotherClients();
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void doesNotRetryForClientGoneBetweenAttempts(String how) throws Exception {
        addSecondEndpoint();
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            secondEndpointListener.setSoTimeout(20);
            endpointListener.setSoTimeout(20);
            try (LineSocket server = new LineSocket(acceptAtEitherEndpoint())) {
                server.readLine();
                beforeAttemptEnded = this::holdLoop;
                server.send("BUSY\r\n");
                await(loopHeld);
                disconnect(client, how);
                otherEventHappened.countDown();
                assertEquals(Outcome.FULL, outcomes.poll(5, TimeUnit.SECONDS));
                assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
            }
            try (LineSocket other = connectClient()) {
                other.send(OTHER_OPEN_COMMAND);
                try (LineSocket server = new LineSocket(acceptAtEitherEndpoint())) {
                    assertTrue(
                            String.valueOf(server.readLine()).startsWith("OPEN 0ther "),
                            "no attempt for one that has gone");
                }
            }
        }
    }

    /** Whichever of the two members is asked first. */
    private Socket acceptAtEitherEndpoint() throws IOException {
        for (int i = 0; i < 250; i++) {
            try {
                return (i % 2 == 0 ? endpointListener : secondEndpointListener).accept();
            } catch (java.net.SocketTimeoutException none) {
                assertTrue(i < 249, "no member was asked");
            }
        }
        throw new IllegalStateException();
    }

    /** It waits until a member serves, leaves, and one serves in the same moment. */
    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void doesNotForwardForClientGoneWhileNoEndpointServed(String how) throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> {
            core.endpointsChanged(
                    EndpointListKind.CHANGES,
                    java.util.List.of(endpointEntry("s-1", EndpointStatus.DRAINING, endpointListener)));
            drained.countDown();
        });
        await(drained);
        CountDownLatch arrived = new CountDownLatch(1);
        beforeRequestArrived = arrived::countDown;
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(arrived);
        holdLoopThenRun(() -> core.endpointsChanged(
                EndpointListKind.CHANGES,
                java.util.List.of(endpointEntry("s-1", EndpointStatus.SERVING, endpointListener))));
        disconnect(client, how);
        releaseLoopAndAwaitDecision();
        assertNextRequestIsAnotherClients();
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void doesNotForwardForClientGoneWhileConnecting(String how) throws Exception {
        // After the turn that dials, and before the loop hears that the connection is up.
        beforeRequestArrived = () -> loop.execute(this::holdLoop);
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(loopHeld);
        try (LineSocket server = acceptUpstream()) {
            disconnect(client, how);
            otherEventHappened.countDown();
            assertNull(server.readLine(), "the member reads nothing of it");
            assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS), "nothing is held against the member");
        }
    }

    @Test
    void sendsNothingToEndpointThatStartsDrainingWhileConnecting() throws Exception {
        beforeRequestArrived = () -> loop.execute(() -> {
            holdLoop();
            core.endpointsChanged(
                    EndpointListKind.CHANGES,
                    java.util.List.of(endpointEntry("s-1", EndpointStatus.DRAINING, endpointListener)));
        });
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            await(loopHeld);
            try (LineSocket server = acceptUpstream()) {
                otherEventHappened.countDown();
                assertNull(server.readLine(), "the member reads nothing of it");
            }
            assertEquals(Outcome.CONNECT_FAILED, outcomes.poll(5, TimeUnit.SECONDS));
        }
    }

    /** Without this one whose line comes in the last moment would be told ERR, over bytes that nobody has read. */
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
     * The node has closed, and not reset: reading shows the end that came before either way, but the kernel takes what is
     * written to a connection that was ended, and nothing for one that was reset.
     */
    private void assertClosedWithoutReset(LineSocket client) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        loop.execute(closed::countDown);
        await(closed);
        assertNull(client.readLine());
        client.send("and still no reset\r\n");
    }

    /** A close over bytes that nobody has read would be a reset, and BUSY might go with it. */
    @ParameterizedTest
    @ValueSource(strings = {"", "OPEN 9b", "frob\r\n"})
    void evictedClientReadsResponseAndEndOfStreamDespiteUnreadBytes(String unread) throws Exception {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            holdLoopThenRun(() -> assertTrue(frontend.unservedConnections().evictOne()));
            client.send(unread);
            releaseLoopAndAwaitDecision();
            String told = client.readLine();
            assertTrue(told.equals("ERR") || told.matches("BUSY [0-9]+"), told);
            assertClosedWithoutReset(client);
        }
    }

    /** The same for one that lingers after its last line, and goes on sending. */
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

    /** The time for reading its last line ends as more of it comes: still an end, and no reset. */
    @Test
    void clientPastLingerTimeoutSeesEndOfStreamDespiteUnreadBytes() throws Exception {
        stop();
        Limits usual = Limits.forDescriptors(1024);
        Limits.Sockets s = usual.sockets();
        long lingerMs = 300;
        start(usual.with(new Limits.Sockets(
                s.relayBytes(),
                s.readBytes(),
                s.descriptors(),
                s.reservedDescriptors(),
                s.backlog(),
                s.maxReadsPerEvent(),
                s.maxAcceptsPerEvent(),
                lingerMs,
                s.sweepIntervalMs(),
                s.overloadRetryAfterMs())));
        try (LineSocket client = connectClient()) {
            client.send("frob\r\n");
            assertEquals("ERR", client.readLine());
            // Held until the time has ended, so that its end is the next that the loop looks at, and the bytes are
            // there before.
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

    /** A request that comes after the last line has been answered by it; it is read and goes nowhere. */
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

    /** Half a line of the member's stands in the splitter as the client is moved: MOVE stands between two lines. */
    @Test
    void dropsPartialEndpointLineWhenClientMigrates() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket server = acceptUpstream()) {
                server.readLine();
                server.send("UP r1\r\n");
                assertEquals("UP r1", client.readLine());
                holdLoopThenRun(() -> core.migrateOldest());
                server.send("M 1 who");
                releaseLoopAndAwaitDecision();
                assertEquals("MOVE", client.readLine());
                assertNull(client.readLine());
            }
        }
    }

    /** An answer cut in the middle is none, and what comes some milliseconds after an answer is not another. */
    @ParameterizedTest
    @ValueSource(strings = {"U", "UP", "UP r1", "UP r1\r"})
    void treatsTruncatedResponseAsReset(String cut) throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND.replace("d=4000", "d=300"));
            try (LineSocket server = acceptUpstream()) {
                server.readLine();
                server.send(cut);
                server.socket.shutdownOutput();
                assertEquals(Outcome.RESET, outcomes.poll(5, TimeUnit.SECONDS));
            }
            assertTrue(client.readLine().startsWith("BUSY"), "and nothing of it reaches the client");
        }
    }

    @Test
    void ignoresSecondResponseAfterRejection() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND.replace("d=4000", "d=300"));
            try (LineSocket server = acceptUpstream()) {
                server.readLine();
                server.send("BUSY\r\nUP r1\r\n");
                assertEquals(Outcome.FULL, outcomes.poll(5, TimeUnit.SECONDS));
            }
            assertTrue(client.readLine().matches("BUSY [0-9]+"));
            assertNull(client.readLine());
        }
    }
}

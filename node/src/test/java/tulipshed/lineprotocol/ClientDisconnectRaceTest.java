package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Outcome;
import tulipshed.limits.Limits;
import tulipshed.limits.SocketLimits;

/** A client that disconnects just as its request is about to be attempted, retried or forwarded. */
class ClientDisconnectRaceTest extends RaceConditionFixture {
    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void opensNoConnectionForDisconnectedClientBeforeFirstAttempt(String closeType) throws Exception {
        beforeRequestArrived = this::holdLoop;
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(loopHeld);
        disconnect(client, closeType);
        otherEventHappened.countDown();
        assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
        assertNothingForwardedBeforeNextClient();
    }

    /** The end of stream is unread and follows early data, which a client may send. */
    @Test
    void detectsEndOfStreamAfterEarlyDataBeforeFirstAttempt() throws Exception {
        beforeRequestArrived = this::holdLoop;
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(loopHeld);
        client.send("M 1 early\r\n");
        client.close();
        otherEventHappened.countDown();
        assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
        assertNothingForwardedBeforeNextClient();
    }

    /** Each read returns only 16 bytes of the early data, so that many reads precede the end of stream. */
    @Test
    void detectsEndOfStreamAfterManyReadsBeforeFirstAttempt() throws Exception {
        stop();
        start(withReadBytes(16));
        beforeRequestArrived = this::holdLoop;
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(loopHeld);
        client.send("M 1 " + "x".repeat(1_000) + "\r\n");
        client.close();
        otherEventHappened.countDown();
        assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
        assertNothingForwardedBeforeNextClient();
    }

    private static Limits withReadBytes(int readBytes) {
        Limits defaults = Limits.forDescriptors(1024);
        SocketLimits sockets = defaults.sockets();
        return defaults.with(new SocketLimits(
                sockets.relayBytes(),
                readBytes,
                sockets.descriptors(),
                sockets.reservedDescriptors(),
                sockets.backlog(),
                sockets.maxReadsPerEvent(),
                sockets.maxAcceptsPerEvent(),
                sockets.lingerTimeoutMs(),
                sockets.sweepIntervalMs(),
                sockets.overloadRetryAfterMs(),
                sockets.emergencyDescriptors(),
                sockets.maxAcceptAttempts(),
                sockets.acceptRetryDelayMs()));
    }

    /** Both events reach the decision module in one batch; the attempt that it still starts must be reported as ended. */
    @Test
    void reportsAttemptAsUnusedWhenClientClosesAfterItsOpenCommand() throws Exception {
        holdLoopThenRun(() -> {});
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        client.close();
        releaseLoopAndAwaitTask();
        assertEquals(Outcome.UNUSED, outcomes.poll(5, TimeUnit.SECONDS));
        assertNothingForwardedBeforeNextClient();
    }

    @Test
    void forwardsNoEarlyDataForDisconnectedClientBeforeResponse() throws Exception {
        LineSocket client = connectClient();
        ClientSession session = sessionOf(client);
        client.send(OPEN_COMMAND);
        try (LineSocket endpoint = acceptUpstream()) {
            endpoint.readLine();
            client.send("M 1 early\r\n");
            holdLoopThenRun(() -> session.upstream().onReadable(null));
            client.close();
            endpoint.send("UP r1\r\n");
            releaseLoopAndAwaitTask();
            assertNull(endpoint.readLine());
            assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
        }
    }

    /** Regression: the line during whose relay the client's connection failed was counted as an unexpected response. */
    @Test
    void countsNoLineAsMalformedWhenClientResets() throws Exception {
        LineSocket client = connectClient();
        ClientSession session = sessionOf(client);
        client.send(OPEN_COMMAND);
        try (LineSocket endpoint = acceptUpstream()) {
            endpoint.send("UP r1\r\n");
            assertEquals("UP r1", client.readLine());
            holdLoopThenRun(() -> {
                session.upstream().onReadable(null);
                frontend.context().upstreamErrors().flush(Double.MAX_VALUE);
            });
            endpoint.send("LOAD 1\r\nLOAD 2\r\n");
            disconnect(client, "RST");
            releaseLoopAndAwaitTask();
            assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
            assertEquals(List.of(), logLines);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void doesNotRetryForDisconnectedClientBetweenAttempts(String closeType) throws Exception {
        addSecondEndpoint();
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            secondEndpointListener.setSoTimeout(20);
            endpointListener.setSoTimeout(20);
            try (LineSocket endpoint = new LineSocket(acceptAtEitherEndpoint())) {
                endpoint.readLine();
                beforeAttemptEnded = this::holdLoop;
                endpoint.send("BUSY\r\n");
                await(loopHeld);
                disconnect(client, closeType);
                otherEventHappened.countDown();
                assertEquals(Outcome.FULL, outcomes.poll(5, TimeUnit.SECONDS));
                assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
            }
            try (LineSocket other = connectClient()) {
                other.send(OTHER_OPEN_COMMAND);
                try (LineSocket endpoint = new LineSocket(acceptAtEitherEndpoint())) {
                    assertTrue(
                            String.valueOf(endpoint.readLine()).startsWith("OPEN 0ther "),
                            "no attempt for a disconnected client");
                }
            }
        }
    }

    /** Accepts a connection at whichever of the two endpoints is tried first. */
    private Socket acceptAtEitherEndpoint() throws IOException {
        for (int i = 0; i < 250; i++) {
            try {
                return (i % 2 == 0 ? endpointListener : secondEndpointListener).accept();
            } catch (SocketTimeoutException none) {
                assertTrue(i < 249, "no endpoint was tried");
            }
        }
        throw new IllegalStateException();
    }

    /** The client waits for an endpoint to start serving, and disconnects just as one does. */
    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void doesNotForwardForDisconnectedClientWhileNoEndpointServed(String closeType) throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> {
            listFirstEndpoint(EndpointStatus.DRAINING);
            drained.countDown();
        });
        await(drained);
        CountDownLatch arrived = new CountDownLatch(1);
        beforeRequestArrived = arrived::countDown;
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(arrived);
        holdLoopThenRun(() -> listFirstEndpoint(EndpointStatus.SERVING));
        disconnect(client, closeType);
        releaseLoopAndAwaitTask();
        assertNothingForwardedBeforeNextClient();
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void doesNotForwardForDisconnectedClientWhileConnecting(String closeType) throws Exception {
        // After the event batch that starts connecting, but before the event loop is notified of the connection.
        beforeRequestArrived = () -> loop.execute(this::holdLoop);
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(loopHeld);
        try (LineSocket endpoint = acceptUpstream()) {
            disconnect(client, closeType);
            otherEventHappened.countDown();
            assertNull(endpoint.readLine(), "the endpoint receives nothing");
            assertEquals(
                    Outcome.CANCELLED,
                    outcomes.poll(5, TimeUnit.SECONDS),
                    "the outcome does not count against the endpoint");
        }
    }

    private void disconnect(LineSocket client, String closeType) throws IOException {
        if (closeType.equals("RST")) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }
}

package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.Outcome;

/** A client that leaves just as its request is about to be attempted, retried or forwarded. */
class ClientDisconnectRaceTest extends RaceConditionFixture {
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

    /** The end of the stream is unread, behind early data, which a client may send. */
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
                            "no attempt for a client that has gone");
                }
            }
        }
    }

    /** Accepts at whichever of the two endpoints is tried first. */
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

    /** The client waits until an endpoint serves, and leaves just as one does. */
    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void doesNotForwardForClientGoneWhileNoEndpointServed(String how) throws Exception {
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
        disconnect(client, how);
        releaseLoopAndAwaitDecision();
        assertNextRequestIsAnotherClients();
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void doesNotForwardForClientGoneWhileConnecting(String how) throws Exception {
        // After the event batch that connects, and before the event loop is notified that the connection is made.
        beforeRequestArrived = () -> loop.execute(this::holdLoop);
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(loopHeld);
        try (LineSocket server = acceptUpstream()) {
            disconnect(client, how);
            otherEventHappened.countDown();
            assertNull(server.readLine(), "the endpoint receives nothing");
            assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS), "the endpoint is not blamed");
        }
    }

    private void disconnect(LineSocket client, String how) throws IOException {
        if (how.equals("RST")) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }
}

package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;

/**
 * Forces the order of two concurrent events on real sockets: the event loop is held at the decisive point until the other
 * event has happened too. docs/crossings.md lists all such pairs.
 */
abstract class RaceConditionFixture extends LineProtocolFixture {
    static final String OTHER_OPEN_COMMAND = OPEN_COMMAND.replace("9b1f", "0ther");
    final CountDownLatch loopHeld = new CountDownLatch(1);
    final CountDownLatch otherEventHappened = new CountDownLatch(1);
    final CompletableFuture<Void> decisionMade = new CompletableFuture<>();

    /** On the event loop: blocks it until the test reports that the other event has happened. */
    void holdLoop() {
        beforeRequestArrived = () -> {};
        beforeAttemptEnded = () -> {};
        loopHeld.countDown();
        await(otherEventHappened);
    }

    /** Blocks the event loop in a task of its own, which then runs the decision before any further event. */
    void holdLoopThenRun(Runnable decision) {
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

    /** Releases the event loop as the other event has happened; returns once the decision has run, and throws what it threw. */
    void releaseLoopAndAwaitDecision() throws Exception {
        otherEventHappened.countDown();
        decisionMade.get(10, TimeUnit.SECONDS);
    }

    /** On the event loop: the endpoint list now names the first endpoint with this status. */
    final void listFirstEndpoint(EndpointStatus status) {
        core.endpointsChanged(EndpointListKind.CHANGES, List.of(endpointEntry("s-1", status, endpointListener)));
    }

    /** The node's side of a client that is connected and has sent no open command. */
    final ClientSession sessionOf(LineSocket client) throws Exception {
        client.send("PING\r\n");
        assertEquals("PONG", client.readLine());
        return onLoop(() -> frontend.unservedConnections().opening().get(0));
    }

    /** Returns once the task has run on the event loop, and throws what it threw. */
    final void runOnLoop(Runnable task) throws Exception {
        onLoop(() -> {
            task.run();
            return null;
        });
    }

    /** What the query yields on the event loop. */
    final <T> T onLoop(Supplier<T> query) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(query.get());
            } catch (RuntimeException | AssertionError e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(10, TimeUnit.SECONDS);
    }

    /** The next request that reaches an endpoint is another client's: none was sent for the client that has gone. */
    void assertNextRequestIsAnotherClients() throws IOException {
        try (LineSocket other = connectClient()) {
            other.send(OTHER_OPEN_COMMAND);
            try (LineSocket server = acceptUpstream()) {
                assertTrue(
                        String.valueOf(server.readLine()).startsWith("OPEN 0ther "),
                        "no attempt for a client that has gone");
            }
        }
    }
}

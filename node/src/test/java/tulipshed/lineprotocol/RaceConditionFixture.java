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
 * Forces the order of two concurrent events on real sockets: the event loop is blocked at the critical point until the other
 * event has also happened. docs/crossings.md lists all such pairs.
 */
abstract class RaceConditionFixture extends LineProtocolFixture {
    static final String OTHER_OPEN_COMMAND = OPEN_COMMAND.replace("9b1f", "0ther");
    final CountDownLatch loopHeld = new CountDownLatch(1);
    final CountDownLatch otherEventHappened = new CountDownLatch(1);
    final CompletableFuture<Void> heldTaskDone = new CompletableFuture<>();

    /** Blocks the event loop until the test signals that the other event has happened. Called on the event loop. */
    void holdLoop() {
        beforeRequestArrived = () -> {};
        beforeAttemptEnded = () -> {};
        loopHeld.countDown();
        await(otherEventHappened);
    }

    /** Blocks the event loop in a separate task, which then runs {@code heldTask} before any further event. */
    void holdLoopThenRun(Runnable heldTask) {
        loop.execute(() -> {
            holdLoop();
            try {
                heldTask.run();
                heldTaskDone.complete(null);
            } catch (RuntimeException | AssertionError e) {
                heldTaskDone.completeExceptionally(e);
            }
        });
        await(loopHeld);
    }

    /** Releases the event loop after the other event has happened; waits for the held task and rethrows its exception. */
    void releaseLoopAndAwaitTask() throws Exception {
        otherEventHappened.countDown();
        heldTaskDone.get(10, TimeUnit.SECONDS);
    }

    /** Lists the first endpoint with this status. Called on the event loop. */
    final void listFirstEndpoint(EndpointStatus status) {
        core.endpointsChanged(EndpointListKind.CHANGES, List.of(endpointEntry("s-1", status, endpointListener)));
    }

    /** The node's session of a connected client that has not sent an open command. */
    final ClientSession sessionOf(LineSocket client) throws Exception {
        client.send("PING\r\n");
        assertEquals("PONG", client.readLine());
        return onLoop(() -> frontend.unservedConnections().opening().get(0));
    }

    /** Runs the task on the event loop, waits for it and rethrows its exception. */
    final void runOnLoop(Runnable task) throws Exception {
        onLoop(() -> {
            task.run();
            return null;
        });
    }

    /** Evaluates the query on the event loop and returns its result. */
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

    /** Asserts that the next open command forwarded is another client's, so none was forwarded for the disconnected client. */
    void assertNothingForwardedBeforeNextClient() throws IOException {
        try (LineSocket other = connectClient()) {
            other.send(OTHER_OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                assertTrue(
                        String.valueOf(endpoint.readLine()).startsWith("OPEN 0ther "),
                        "no attempt for a disconnected client");
            }
        }
    }
}

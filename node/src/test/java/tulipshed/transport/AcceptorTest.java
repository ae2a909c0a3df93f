package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import tulipshed.limits.Limits;
import tulipshed.proxy.EventLoop;

/** Tests of a listener whose accepts fail under control of the test, on a loop whose timers the test runs. */
class AcceptorTest {
    private static final Limits LIMITS = Limits.forDescriptors(1024);
    private static final int BATCH_SIZE = LIMITS.sockets().maxAcceptsPerEvent();
    private static final int MAX_CONNECTIONS = 20;
    private static final double LOG_INTERVAL_MS = 10_000;

    private final ScriptedSocket socket = new ScriptedSocket();
    private final ManualLoop loop = new ManualLoop();
    private final List<String> lines = new ArrayList<>();
    private final List<StreamConnection> handled = new ArrayList<>();
    private Consumer<StreamConnection> handler = handled::add;
    private boolean hasDescriptors = true;
    private final DescriptorBudget descriptors =
            new DescriptorBudget(LIMITS, new HotRestartState(), new DescriptorReserve(2, () -> {
                if (!hasDescriptors) {
                    throw new IOException("Too many open files");
                }
                return () -> {};
            }));
    private final Acceptor acceptor = new Acceptor(
            loop,
            descriptors,
            new FailureLog(loop, LOG_INTERVAL_MS, lines::add, "accepting failed"),
            LIMITS.sockets(),
            MAX_CONNECTIONS,
            connection -> handler.accept(connection));

    AcceptorTest() {
        descriptors.refillReserve();
        acceptor.start(socket);
    }

    /** Connection without a socket; only its end is of interest. */
    private static final class FakeConnection extends StreamConnection {
        FakeConnection() {
            super(null);
        }

        @Override
        protected void closeAction() {
            // Nothing is open.
        }

        @Override
        protected boolean readClosed() {
            return true;
        }

        @Override
        protected boolean writeClosed() {
            return true;
        }

        @Override
        public SocketAddress getPeerAddress() {
            return null;
        }

        @Override
        public SocketAddress getLocalAddress() {
            return null;
        }
    }

    /** Socket whose next accepts fail a given number of times and then return the waiting connections. */
    private static final class ScriptedSocket implements ListeningSocket {
        private int failures;
        private int waiting;
        private int accepts;
        private boolean suspended = true;
        private boolean closed;

        @Override
        public StreamConnection accept() throws IOException {
            accepts++;
            if (failures > 0) {
                failures--;
                throw new SocketException("Too many open files in system");
            }
            if (waiting == 0) {
                return null;
            }
            waiting--;
            return new FakeConnection();
        }

        @Override
        public void resumeAccepts() {
            suspended = false;
        }

        @Override
        public void suspendAccepts() {
            suspended = true;
        }

        @Override
        public InetSocketAddress address() {
            return new InetSocketAddress(0);
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    /** Loop that collects scheduled tasks until the test runs them, and drops those of the failure log. */
    private static final class ManualLoop implements EventLoop {
        private final ArrayDeque<Double> delaysMs = new ArrayDeque<>();
        private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();

        @Override
        public void execute(Runnable task) {
            schedule(0, task);
        }

        @Override
        public void schedule(double delayMs, Runnable task) {
            if (delayMs < LOG_INTERVAL_MS) {
                delaysMs.add(delayMs);
                tasks.add(task);
            }
        }

        private void runNext() {
            delaysMs.poll();
            tasks.remove().run();
        }
    }

    @Test
    void acceptsAtOnceAfterMomentaryFailure() {
        socket.failures = 2;
        socket.waiting = 3;
        acceptor.onAcceptable();
        assertEquals(3, handled.size());
        assertTrue(loop.tasks.isEmpty(), "no retry is scheduled");
        assertFalse(socket.suspended);
        assertEquals(List.of("accepting failed: 1, last: Too many open files in system"), lines);
    }

    /** While accepts fail, the loop must not spin and clients must not wait long. */
    @Test
    void pausesForMillisecondsWhileAcceptsFail() {
        hasDescriptors = false;
        descriptors.releaseReserved();
        descriptors.releaseReserved();
        socket.failures = 1000;
        socket.waiting = 1;
        for (int pause = 0; pause < 50; pause++) {
            acceptor.onAcceptable();
            assertTrue(socket.suspended);
            assertTrue(loop.delaysMs.peek() <= 5, () -> loop.delaysMs + " ms");
            assertEquals(1, loop.tasks.size());
            acceptor.onAcceptable();
            assertEquals(5 * (pause + 1), socket.accepts, "no accept during the pause");
            loop.runNext();
            assertFalse(socket.suspended);
        }
        socket.failures = 0;
        acceptor.onAcceptable();
        assertEquals(1, handled.size());
        assertEquals(1, lines.size(), lines::toString);
    }

    @Test
    void acceptsWithReserveAndRejectsUntilItIsFullAgain() {
        hasDescriptors = false;
        List<Boolean> capacity = new ArrayList<>();
        handler = connection -> {
            capacity.add(descriptors.hasCapacityForClient());
            socket.failures = 5;
        };
        socket.failures = 5;
        socket.waiting = 4;
        acceptor.onAcceptable();
        assertEquals(List.of(false, false), capacity, "one for each reserved descriptor released");
        assertTrue(socket.suspended);
        assertEquals(1, loop.tasks.size());
        assertTrue(loop.delaysMs.peek() <= 5, () -> loop.delaysMs + " ms");
        loop.runNext();
        assertFalse(socket.suspended);
        assertFalse(descriptors.hasCapacityForClient());
        hasDescriptors = true;
        socket.failures = 5;
        acceptor.onAcceptable();
        assertEquals(List.of(false, false, false, false), capacity, "refilled briefly, and released again");
        loop.runNext();
        assertTrue(descriptors.hasCapacityForClient());
        assertTrue(loop.tasks.isEmpty(), "the reserve is full");
    }

    @Test
    void acceptsNoMoreThanBatchBetweenTwoSelectsAndNoMoreThanAllowedInAll() {
        socket.waiting = 100;
        acceptor.onAcceptable();
        assertEquals(BATCH_SIZE, handled.size());
        acceptor.onAcceptable();
        acceptor.onAcceptable();
        assertEquals(MAX_CONNECTIONS, handled.size());
        assertTrue(socket.suspended);
        IoUtils.safeClose(handled.get(0));
        assertFalse(socket.suspended);
        acceptor.onAcceptable();
        assertEquals(MAX_CONNECTIONS + 1, handled.size());
        assertTrue(socket.suspended);
    }

    @Test
    void closesConnectionWhoseHandlerFails() {
        socket.waiting = 1;
        handler = connection -> {
            handled.add(connection);
            throw new IllegalStateException("a defect");
        };
        assertThrows(IllegalStateException.class, acceptor::onAcceptable);
        assertFalse(handled.get(0).isOpen());
        handler = handled::add;
        socket.waiting = 1;
        acceptor.onAcceptable();
        assertEquals(2, handled.size());
    }

    @Test
    void drainHandsOverAllThatWaitAndCloses() {
        socket.waiting = 3 * BATCH_SIZE;
        acceptor.drainAndClose();
        assertEquals(3 * BATCH_SIZE, handled.size());
        assertTrue(socket.closed);
        socket.waiting = 1;
        acceptor.onAcceptable();
        assertEquals(3 * BATCH_SIZE, handled.size());
    }
}

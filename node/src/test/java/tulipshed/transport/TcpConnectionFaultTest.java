package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;
import tulipshed.limits.Limits;
import tulipshed.testing.LoopbackSockets;

/** Tests of a loopback connection whose system calls fail or are incomplete, or whose listener fails. */
@Timeout(30)
class TcpConnectionFaultTest {
    private final XnioEventLoop loop = new XnioEventLoop(Limits.forDescriptors(1024));
    private final ServerSocket server = LoopbackSockets.listen(5);
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final ByteBuffer received = ByteBuffer.allocate(5000);
    private Runnable onReadableAction = () -> {};
    private TcpConnection connection;
    private Socket remote;

    TcpConnectionFaultTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        loop.stop();
        server.close();
        remote.close();
    }

    /** Modifies the system calls of a connection before it is used. */
    private interface Fault {
        void inject(StreamConnection connection);
    }

    private void open(Fault fault) throws Exception {
        CompletableFuture<TcpConnection> opened = new CompletableFuture<>();
        loop.execute(() -> loop.connect(
                (InetSocketAddress) server.getLocalSocketAddress(),
                established -> {
                    fault.inject(established);
                    opened.complete(loop.register(established, new EventRecorder()));
                },
                opened::completeExceptionally));
        remote = server.accept();
        connection = opened.get();
        loop.execute(() -> connection.setReading(true));
    }

    /** Records events, and reads the received bytes. */
    private final class EventRecorder implements TcpConnection.Listener {
        @Override
        public void onReadable(TcpConnection from) {
            events.add("readable");
            onReadableAction.run();
            from.read(received);
        }

        @Override
        public void onWritten(TcpConnection from) {
            events.add("written");
        }

        @Override
        public void onBroken(TcpConnection from) {
            events.add("broken");
        }
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(10, TimeUnit.SECONDS);
    }

    /**
     * Waits until the loop has processed its ready sockets and pending tasks, and returns the number of open
     * connections.
     */
    private int openConnectionsAfterPendingTasks() throws Exception {
        for (int turn = 0; turn < 10; turn++) {
            CompletableFuture<Integer> done = new CompletableFuture<>();
            loop.execute(() -> done.complete(loop.openConnections()));
            done.get();
        }
        CompletableFuture<Integer> open = new CompletableFuture<>();
        loop.execute(() -> open.complete(loop.openConnections()));
        return open.get();
    }

    static Stream<IOException> failures() {
        return Stream.of(
                new SocketException("Connection reset"),
                new IOException("Broken pipe"),
                new IOException("Connection timed out"),
                new NoRouteToHostException("No route to host"),
                new IOException("Cannot allocate memory"));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void failedReadBreaksConnectionOnce(IOException failure) throws Exception {
        open(established -> established
                .getSourceChannel()
                .setConduit(
                        new AbstractStreamSourceConduit<StreamSourceConduit>(
                                established.getSourceChannel().getConduit()) {
                            @Override
                            public int read(ByteBuffer into) throws IOException {
                                throw failure;
                            }
                        }));
        remote.getOutputStream().write(1);
        assertEquals("readable", nextEvent());
        assertEquals("broken", nextEvent());
        assertEquals(0, openConnectionsAfterPendingTasks());
        assertTrue(events.isEmpty(), events::toString);
    }

    @ParameterizedTest
    @MethodSource("failures")
    void failedWriteBreaksConnectionOnce(IOException failure) throws Exception {
        open(established -> established
                .getSinkChannel()
                .setConduit(
                        new AbstractStreamSinkConduit<StreamSinkConduit>(
                                established.getSinkChannel().getConduit()) {
                            @Override
                            public int write(ByteBuffer from) throws IOException {
                                throw failure;
                            }
                        }));
        loop.execute(() -> connection.write(new byte[] {1}));
        assertEquals("broken", nextEvent());
        assertEquals(0, openConnectionsAfterPendingTasks());
        assertTrue(events.isEmpty(), events::toString);
    }

    @Test
    void shortReadsAndWritesLoseNothing() throws Exception {
        open(established -> {
            established
                    .getSourceChannel()
                    .setConduit(
                            new AbstractStreamSourceConduit<StreamSourceConduit>(
                                    established.getSourceChannel().getConduit()) {
                                @Override
                                public int read(ByteBuffer into) throws IOException {
                                    ByteBuffer oneByte = into.slice(into.position(), Math.min(1, into.remaining()));
                                    int count = super.read(oneByte);
                                    into.position(into.position() + Math.max(0, count));
                                    return count;
                                }
                            });
            established
                    .getSinkChannel()
                    .setConduit(
                            new AbstractStreamSinkConduit<StreamSinkConduit>(
                                    established.getSinkChannel().getConduit()) {
                                @Override
                                public int write(ByteBuffer from) throws IOException {
                                    ByteBuffer prefix = from.slice(from.position(), Math.min(7, from.remaining()));
                                    int count = super.write(prefix);
                                    from.position(from.position() + count);
                                    return count;
                                }
                            });
        });
        byte[] bytes = new byte[5000];
        new Random(1).nextBytes(bytes);
        loop.execute(() -> connection.write(bytes));
        assertArrayEquals(bytes, remote.getInputStream().readNBytes(bytes.length));
        remote.getOutputStream().write(bytes);
        while (events.stream().filter("readable"::equals).count() < bytes.length) {
            Thread.onSpinWait();
        }
        assertEquals(1, openConnectionsAfterPendingTasks());
        assertArrayEquals(bytes, received.array());
        assertTrue(events.contains("written"));
    }

    /** Otherwise the selector would report its unread input again and again. */
    @Test
    void failingListenerClosesItsConnection() throws Exception {
        onReadableAction = () -> {
            throw new AssertionError("a defect");
        };
        open(established -> {});
        remote.getOutputStream().write(1);
        assertEquals("readable", nextEvent());
        assertEquals("broken", nextEvent());
        assertEquals(0, openConnectionsAfterPendingTasks());
        assertTrue(events.isEmpty(), events::toString);
    }

    @Test
    void threadSurvivesTasksAndTimersThatFail() throws Exception {
        open(established -> {});
        loop.execute(() -> {
            throw new AssertionError("a defect");
        });
        loop.schedule(1, () -> {
            throw new IllegalStateException("a defect");
        });
        CompletableFuture<Void> timerRun = new CompletableFuture<>();
        loop.schedule(5, () -> timerRun.complete(null));
        timerRun.get(10, TimeUnit.SECONDS);
        assertEquals(1, openConnectionsAfterPendingTasks());
    }

    @Test
    void connectionWhoseReceiverFailsIsClosed() throws Exception {
        loop.execute(() -> loop.connect(
                (InetSocketAddress) server.getLocalSocketAddress(),
                established -> {
                    throw new IllegalStateException("a defect");
                },
                failure -> events.add("failed")));
        remote = server.accept();
        remote.setSoTimeout(10_000);
        assertEquals(-1, remote.getInputStream().read());
        assertEquals(0, openConnectionsAfterPendingTasks());
    }
}

package tulipshed.lineprotocol;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.decision.BalancerApi;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.proxy.ProxyCore;
import tulipshed.testing.DelegatingBalancer;
import tulipshed.time.SystemClock;
import tulipshed.transport.XnioEventLoop;

/** The platform's front with the real core and module, between plain sockets on loopback. */
abstract class LineProtocolFixture {
    static final String OPEN_COMMAND = "OPEN 9b1f k c=slot-board,t=melnik-terminal,d=4000\r\n";
    final BlockingQueue<Double> latencies = new LinkedBlockingQueue<>();
    final BlockingQueue<Double> loads = new LinkedBlockingQueue<>();
    final BlockingQueue<BalancerApi.Outcome> outcomes = new LinkedBlockingQueue<>();
    final BlockingQueue<BalancerApi.LoadReport> loadReports = new LinkedBlockingQueue<>();
    final List<String> logLines = new CopyOnWriteArrayList<>();
    XnioEventLoop loop;
    ProxyCore core;
    LineProtocolFrontend frontend;
    ServerSocket endpointListener;
    /** Listed from {@link #addSecondEndpoint} on. */
    ServerSocket secondEndpointListener;
    /** Run on the loop before the module is told of an arrival, and of the end of an attempt. */
    volatile Runnable beforeRequestArrived = () -> {};

    volatile Runnable beforeAttemptEnded = () -> {};
    private InetSocketAddress nodeAddress;

    /** One end of a connection, line by line. */
    static final class LineSocket implements AutoCloseable {
        final Socket socket;
        final BufferedReader reader;

        LineSocket(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(5000);
            reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        String readLine() throws IOException {
            return reader.readLine();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @BeforeEach
    void start() throws Exception {
        start(Limits.forDescriptors(1024));
    }

    void start(Limits limits) throws Exception {
        start(limits, "", "");
    }

    /** With other settings in place of some. */
    void start(Limits limits, String some, String others) throws Exception {
        Path file = Files.createTempFile("node", ".json");
        Files.writeString(
                file, Files.readString(Path.of("src/test/resources/node.json")).replace(some, others));
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", file.toString()));
        Files.delete(file);
        loop = new XnioEventLoop(limits);
        endpointListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        secondEndpointListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        // A member that is not asked fails its test, and does not hold it for ever.
        endpointListener.setSoTimeout(10_000);
        secondEndpointListener.setSoTimeout(10_000);
        BlockingQueue<InetSocketAddress> listening = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            core = new ProxyCore(
                    new SystemClock(),
                    limits,
                    config.settings(),
                    1,
                    loop,
                    NodeLog.silent(),
                    (settings, seed, now, actions) -> new RecordingModule(new Balancer(settings, seed, now, actions)));
            core.endpointsChanged(
                    EndpointListKind.COMPLETE, List.of(endpointEntry("s-1", EndpointStatus.SERVING, endpointListener)));
            frontend = new LineProtocolFrontend(
                    new SystemClock(),
                    limits,
                    config.nameIndex(),
                    config.loadReportsLatency(),
                    loop,
                    core,
                    NodeLog.to(logLines::add));
            try {
                listening.add(loop.listen(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                limits.clientConnections(),
                                frontend::accept)
                        .address());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        nodeAddress = listening.poll(10, TimeUnit.SECONDS);
    }

    static EndpointListEntry endpointEntry(String id, EndpointStatus state, ServerSocket at) {
        return new EndpointListEntry(new EndpointInfo(id, state, "decin", 0, "std-2c", 1, 0), (InetSocketAddress)
                at.getLocalSocketAddress());
    }

    /** The second member serves too. */
    void addSecondEndpoint() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        loop.execute(() -> {
            core.endpointsChanged(
                    EndpointListKind.CHANGES,
                    List.of(endpointEntry("s-2", EndpointStatus.SERVING, secondEndpointListener)));
            told.countDown();
        });
        await(told);
    }

    void restart(String some, String others) throws Exception {
        stop();
        start(Limits.forDescriptors(1024), some, others);
    }

    @AfterEach
    void stop() throws IOException {
        endpointListener.close();
        secondEndpointListener.close();
        loop.stop();
    }

    /** The module, with an ear on its notes. */
    private final class RecordingModule extends DelegatingBalancer {
        RecordingModule(BalancerApi to) {
            super(to);
        }

        @Override
        public void requestArrived(long now, NewRequest request) {
            beforeRequestArrived.run();
            super.requestArrived(now, request);
        }

        @Override
        public void latencyReported(long now, long requestId, double delayMs) {
            latencies.add(delayMs);
        }

        @Override
        public void attemptEnded(
                long now, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
            beforeAttemptEnded.run();
            outcomes.add(outcome);
            loadReports.add(report);
            super.attemptEnded(now, requestId, attempt, concluded, outcome, report);
        }

        @Override
        public void loadReported(long now, long requestId, double loadUsPerS) {
            loads.add(loadUsPerS);
        }
    }

    LineSocket connectClient() throws IOException {
        return new LineSocket(new Socket(nodeAddress.getAddress(), nodeAddress.getPort()));
    }

    LineSocket acceptUpstream() throws IOException {
        return new LineSocket(endpointListener.accept());
    }

    /** Waits on whichever thread, the loop's too, but never without end. */
    static void await(CountDownLatch latch) {
        try {
            if (!latch.await(10, TimeUnit.SECONDS)) {
                throw new IllegalStateException("waited in vain");
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}

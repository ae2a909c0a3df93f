package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.decision.BalancerApi;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.LoadReport;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.Settings;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.proxy.ProxyCore;
import tulipshed.testing.DelegatingBalancer;
import tulipshed.time.SystemClock;
import tulipshed.transport.XnioEventLoop;

/** Probes on loopback sockets, between the real core and a member played line by line. */
class HealthCheckConnectionsTest {
    private record HealthCheckResult(String endpointId, Outcome outcome, LoadReport report) {}

    private final BlockingQueue<HealthCheckResult> results = new LinkedBlockingQueue<>();
    private final List<String> logLines = new CopyOnWriteArrayList<>();
    private ServerSocket endpointListener;
    private XnioEventLoop loop;
    private ProxyCore core;
    private LineProtocolFrontend frontend;
    private BalancerApi.Actions actions;

    @BeforeEach
    void start() throws Exception {
        start(true);
    }

    private void start(boolean allowed) throws Exception {
        Limits limits = Limits.forDescriptors(1024);
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"));
        Settings s = config.settings();
        BalancerApi.SiteLimits l = s.limits();
        Settings settings = new Settings(
                s.nodeIndex(),
                s.nodeCount(),
                s.zone(),
                s.passThrough(),
                s.polledDiscovery(),
                s.groupAffinity(),
                s.weightSemantics(),
                s.loadReportSource(),
                new BalancerApi.SiteLimits(
                        l.maxAttempts(),
                        l.maxRetryAfterUs(),
                        l.cancellation(),
                        allowed,
                        l.peerMessages(),
                        l.retryAfter(),
                        l.connectTimeoutUs(),
                        l.connectionIdleUs(),
                        l.streamsPerConnection()),
                s.rules(),
                s.prices(),
                s.classes(),
                s.tenants());
        loop = new XnioEventLoop(limits);
        endpointListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        BlockingQueue<ProxyCore> made = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            ProxyCore c = new ProxyCore(
                    new SystemClock(),
                    limits,
                    settings,
                    1,
                    loop,
                    NodeLog.to(logLines::add),
                    (given, seed, now, does) -> {
                        actions = does;
                        return new DelegatingBalancer(new Balancer(given, seed, now, does)) {
                            @Override
                            public void healthCheckCompleted(
                                    long now, String server, Outcome outcome, LoadReport report) {
                                results.add(new HealthCheckResult(server, outcome, report));
                            }
                        };
                    });
            c.endpointsChanged(
                    EndpointListKind.COMPLETE,
                    List.of(new EndpointListEntry(
                            new EndpointInfo("s-1", EndpointStatus.SERVING, "decin", 0, "std-2c", 1, 0),
                            (InetSocketAddress) endpointListener.getLocalSocketAddress())));
            frontend = new LineProtocolFrontend(
                    new SystemClock(),
                    limits,
                    config.nameIndex(),
                    config.loadReportsLatency(),
                    loop,
                    c,
                    NodeLog.to(logLines::add));
            made.add(c);
        });
        core = made.poll(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws IOException {
        endpointListener.close();
        loop.stop();
    }

    /** The module asks for a probe, in a turn of its own. */
    private void startHealthCheck() {
        loop.execute(() -> {
            actions.startHealthCheck("s-1");
            core.endpointsChanged(EndpointListKind.CHANGES, List.of());
        });
    }

    private HealthCheckResult nextResult() throws InterruptedException {
        HealthCheckResult h = results.poll(10, TimeUnit.SECONDS);
        assertNotNull(h, "no answer to a probe");
        return h;
    }

    private static String readLine(Socket s) throws IOException {
        s.setSoTimeout(10_000);
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII), 1).readLine();
    }

    private static void sendLine(Socket s, String text) throws IOException {
        s.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void reportsLoadAndReusesConnectionForNextHealthCheck() throws Exception {
        startHealthCheck();
        try (Socket s = endpointListener.accept()) {
            assertEquals("STATS", readLine(s));
            sendLine(s, "PONG util=0.61,queue=2,x0=0.75");
            HealthCheckResult first = nextResult();
            assertEquals(Outcome.OK, first.outcome());
            assertEquals(0.75, first.report().load());
            assertEquals(0.61, first.report().cpu());
            assertEquals(2, first.report().queue());
            startHealthCheck();
            assertEquals("STATS", readLine(s));
            sendLine(s, "PONG x0=0.25");
            assertEquals(0.25, nextResult().report().load());
        }
    }

    @Test
    void overlappingHealthChecksShareOneResponse() throws Exception {
        startHealthCheck();
        startHealthCheck();
        try (Socket s = endpointListener.accept()) {
            assertEquals("STATS", readLine(s));
            sendLine(s, "PONG x0=0.5");
            assertEquals(0.5, nextResult().report().load());
            startHealthCheck();
            assertEquals("STATS", readLine(s), "the first line after the answer is the third probe's");
        }
    }

    @Test
    void reopensIdleConnectionClosedByEndpoint() throws Exception {
        startHealthCheck();
        try (Socket s = endpointListener.accept()) {
            readLine(s);
            sendLine(s, "PONG x0=0.5");
            nextResult();
        }
        startHealthCheck();
        try (Socket s = endpointListener.accept()) {
            assertEquals("STATS", readLine(s));
            sendLine(s, "PONG x0=0.125");
            assertEquals(0.125, nextResult().report().load());
        }
    }

    @Test
    void reportsUnresponsiveAndUnreachableEndpointInTime() throws Exception {
        startHealthCheck();
        try (Socket s = endpointListener.accept()) {
            readLine(s);
            assertEquals(Outcome.TIMEOUT, nextResult().outcome());
            assertEquals(-1, s.getInputStream().read(), "the connection is given up");
        }
        endpointListener.close();
        startHealthCheck();
        assertEquals(Outcome.CONNECT_FAILED, nextResult().outcome());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "PONG x0=-1",
                "PONG x0=NaN",
                "PONG x0=1e99",
                "PONG x0=abc",
                "PONG x0",
                "PONG x0=1,x0=2",
                "PONG util=,x0=1",
                "HELLO",
                "NO",
                "LOAD 3"
            })
    void rejectsMalformedReportWithoutQuotingIt(String answer) throws Exception {
        startHealthCheck();
        try (Socket s = endpointListener.accept()) {
            readLine(s);
            sendLine(s, answer);
            HealthCheckResult h = nextResult();
            assertEquals(Outcome.ERROR, h.outcome());
            assertEquals(LoadReport.NONE, h.report());
        }
        assertTrue(logLines.stream().noneMatch(l -> l.contains(answer)), logLines.toString());
    }

    @Test
    void closesConnectionsAndSendsNoHealthCheckAfterListenerClosed() throws Exception {
        startHealthCheck();
        try (Socket s = endpointListener.accept()) {
            readLine(s);
            sendLine(s, "PONG x0=0.5");
            nextResult();
            loop.execute(frontend::listenerClosed);
            assertEquals(-1, s.getInputStream().read());
            startHealthCheck();
            assertEquals(Outcome.UNUSED, nextResult().outcome());
        }
    }

    @Test
    void skipsUnknownFieldsAndLeavesMissingOnesUnknown() {
        LoadReport r = LoadReportParser.parse(" inflight=7,colour=3,waiting=2");
        assertEquals(7, r.inflight());
        assertEquals(2, r.queue());
        assertTrue(Double.isNaN(r.load()));
        assertThrows(MalformedLineException.class, () -> LoadReportParser.parse("a=1,".repeat(40) + "b=1"));
    }

    @Property(tries = 500, seed = "41")
    void parsesOrRejectsAnyReportText(@ForAll @StringLength(max = 60) String text) {
        try {
            LoadReport r = LoadReportParser.parse("x0=" + text);
            assertTrue(text.isBlank() || Double.isNaN(r.load()) || (r.load() >= 0 && r.load() <= 1e9), text);
        } catch (MalformedLineException e) {
            assertNotNull(e.getMessage());
        }
    }

    @Test
    void sendsNothingWhenHealthChecksAreNotAllowed() throws Exception {
        stop();
        start(false);
        startHealthCheck();
        assertEquals(Outcome.UNUSED, nextResult().outcome());
        endpointListener.setSoTimeout(100);
        assertThrows(IOException.class, endpointListener::accept);
    }
}

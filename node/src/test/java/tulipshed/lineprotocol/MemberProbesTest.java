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
class MemberProbesTest {
    private record Heard(String member, Outcome outcome, LoadReport report) {}

    private final BlockingQueue<Heard> heard = new LinkedBlockingQueue<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private ServerSocket member;
    private XnioEventLoop loop;
    private ProxyCore core;
    private LineProtocolFrontend front;
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
        member = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        BlockingQueue<ProxyCore> made = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            ProxyCore c = new ProxyCore(
                    new SystemClock(), limits, settings, 1, loop, NodeLog.to(log::add), (given, seed, now, does) -> {
                        actions = does;
                        return new DelegatingBalancer(new Balancer(given, seed, now, does)) {
                            @Override
                            public void healthCheckCompleted(
                                    long now, String server, Outcome outcome, LoadReport report) {
                                heard.add(new Heard(server, outcome, report));
                            }
                        };
                    });
            c.endpointsChanged(
                    EndpointListKind.COMPLETE,
                    List.of(new EndpointListEntry(
                            new EndpointInfo("s-1", EndpointStatus.SERVING, "decin", 0, "std-2c", 1, 0),
                            (InetSocketAddress) member.getLocalSocketAddress())));
            front = new LineProtocolFrontend(
                    new SystemClock(),
                    limits,
                    config.nameIndex(),
                    config.loadReportsLatency(),
                    loop,
                    c,
                    NodeLog.to(log::add));
            made.add(c);
        });
        core = made.poll(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws IOException {
        member.close();
        loop.stop();
    }

    /** The module asks for a probe, in a turn of its own. */
    private void probe() {
        loop.execute(() -> {
            actions.startHealthCheck("s-1");
            core.endpointsChanged(EndpointListKind.CHANGES, List.of());
        });
    }

    private Heard hear() throws InterruptedException {
        Heard h = heard.poll(10, TimeUnit.SECONDS);
        assertNotNull(h, "no answer to a probe");
        return h;
    }

    private static String line(Socket s) throws IOException {
        s.setSoTimeout(10_000);
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII), 1).readLine();
    }

    private static void say(Socket s, String text) throws IOException {
        s.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void aReportReachesTheModuleAndTheConnectionIsKeptForTheNext() throws Exception {
        probe();
        try (Socket s = member.accept()) {
            assertEquals("STATS", line(s));
            say(s, "PONG util=0.61,queue=2,x0=0.75");
            Heard first = hear();
            assertEquals(Outcome.OK, first.outcome());
            assertEquals(0.75, first.report().load());
            assertEquals(0.61, first.report().cpu());
            assertEquals(2, first.report().queue());
            probe();
            assertEquals("STATS", line(s));
            say(s, "PONG x0=0.25");
            assertEquals(0.25, hear().report().load());
        }
    }

    @Test
    void probesThatOverlapShareOneAnswer() throws Exception {
        probe();
        probe();
        try (Socket s = member.accept()) {
            assertEquals("STATS", line(s));
            say(s, "PONG x0=0.5");
            assertEquals(0.5, hear().report().load());
            probe();
            assertEquals("STATS", line(s), "the first line after the answer is the third probe's");
        }
    }

    @Test
    void aKeptConnectionThatTheMemberClosedIsOpenedAnew() throws Exception {
        probe();
        try (Socket s = member.accept()) {
            line(s);
            say(s, "PONG x0=0.5");
            hear();
        }
        probe();
        try (Socket s = member.accept()) {
            assertEquals("STATS", line(s));
            say(s, "PONG x0=0.125");
            assertEquals(0.125, hear().report().load());
        }
    }

    @Test
    void aMemberThatRefusesOrSaysNothingIsToldOfInTime() throws Exception {
        probe();
        try (Socket s = member.accept()) {
            line(s);
            assertEquals(Outcome.TIMEOUT, hear().outcome());
            assertEquals(-1, s.getInputStream().read(), "the connection is given up");
        }
        member.close();
        probe();
        assertEquals(Outcome.CONNECT_FAILED, hear().outcome());
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
    void whatIsNoReportIsNotBelievedAndQuotedNowhere(String answer) throws Exception {
        probe();
        try (Socket s = member.accept()) {
            line(s);
            say(s, answer);
            Heard h = hear();
            assertEquals(Outcome.ERROR, h.outcome());
            assertEquals(LoadReport.NONE, h.report());
        }
        assertTrue(log.stream().noneMatch(l -> l.contains(answer)), log.toString());
    }

    @Test
    void aNodeThatLeavesKeepsNoConnectionAndSendsNoProbe() throws Exception {
        probe();
        try (Socket s = member.accept()) {
            line(s);
            say(s, "PONG x0=0.5");
            hear();
            loop.execute(front::listenerClosed);
            assertEquals(-1, s.getInputStream().read());
            probe();
            assertEquals(Outcome.UNUSED, hear().outcome());
        }
    }

    @Test
    void unknownFieldsArePassedOverAndMissingOnesUnknown() {
        LoadReport r = LoadReportParser.read(" inflight=7,colour=3,waiting=2");
        assertEquals(7, r.inflight());
        assertEquals(2, r.queue());
        assertTrue(Double.isNaN(r.load()));
        assertThrows(MalformedLineException.class, () -> LoadReportParser.read("a=1,".repeat(40) + "b=1"));
    }

    @Property(tries = 500, seed = "41")
    void aReportIsReadOrNotBelievedWhateverItHolds(@ForAll @StringLength(max = 60) String text) {
        try {
            LoadReport r = LoadReportParser.read("x0=" + text);
            assertTrue(text.isBlank() || Double.isNaN(r.load()) || (r.load() >= 0 && r.load() <= 1e9), text);
        } catch (MalformedLineException e) {
            assertNotNull(e.getMessage());
        }
    }

    @Test
    void whereProbesAreNotAllowedNothingIsSentAndNobodyWaits() throws Exception {
        stop();
        start(false);
        probe();
        assertEquals(Outcome.UNUSED, hear().outcome());
        member.setSoTimeout(100);
        assertThrows(IOException.class, member::accept);
    }
}

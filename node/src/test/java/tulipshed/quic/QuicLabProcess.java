package tulipshed.quic;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.limits.Limits;
import tulipshed.limits.QuicLimits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.SystemClock;
import tulipshed.time.WallTime;
import tulipshed.transport.XnioEventLoop;

/** What {@link QuicLab} measures: the front with core and module, or a bare relay that looks at addresses alone. */
final class QuicLabProcess {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private QuicLabProcess() {}

    public static void main(String[] args) throws Exception {
        List<InetSocketAddress> members = new ArrayList<>();
        for (int i = 1; i < args.length; i++) {
            members.add(new InetSocketAddress(LOOPBACK, Integer.parseInt(args[i])));
        }
        if (args[0].equals("relay")) {
            relay(members);
        } else {
            node(members);
        }
    }

    /** As little as a relay can do: an address of a client has a socket towards a server. */
    private static void relay(List<InetSocketAddress> members) throws IOException {
        Selector selector = Selector.open();
        DatagramChannel front = DatagramChannel.open();
        front.setOption(java.net.StandardSocketOptions.SO_RCVBUF, 4 << 20);
        front.bind(new InetSocketAddress(LOOPBACK, 0)).configureBlocking(false);
        front.register(selector, SelectionKey.OP_READ);
        System.out.println(((InetSocketAddress) front.getLocalAddress()).getPort());
        Map<SocketAddress, DatagramChannel> flows = new HashMap<>();
        ByteBuffer buffer = ByteBuffer.allocateDirect(2048);
        while (true) {
            selector.select();
            for (SelectionKey key : selector.selectedKeys()) {
                DatagramChannel channel = (DatagramChannel) key.channel();
                for (int i = 0; i < 64; i++) {
                    buffer.clear();
                    SocketAddress from = channel.receive(buffer);
                    if (from == null) {
                        break;
                    }
                    buffer.flip();
                    if (channel != front) {
                        front.send(buffer, (SocketAddress) key.attachment());
                        continue;
                    }
                    DatagramChannel flow = flows.get(from);
                    if (flow == null) {
                        flow = DatagramChannel.open().bind(new InetSocketAddress(LOOPBACK, 0));
                        flow.configureBlocking(false);
                        flow.register(selector, SelectionKey.OP_READ, from);
                        flows.put(from, flow);
                    }
                    flow.send(buffer, members.get(((InetSocketAddress) from).getPort() % members.size()));
                }
            }
            selector.selectedKeys().clear();
        }
    }

    private static void node(List<InetSocketAddress> members) throws Exception {
        Limits l = Limits.forDescriptors(20_000);
        QuicLimits q = l.quic();
        Limits limits = l.with(new QuicLimits(
                q.datagramBytes(),
                20_000,
                q.maxIdsPerConnection(),
                q.retainedFirstDatagrams(),
                q.idleTimeoutMs(),
                q.finalResponseRepeatMs(),
                q.unresponsiveAfterDatagrams(),
                q.unresponsiveTimeoutMs(),
                q.maxClientHelloBytes(),
                q.clientHelloTimeoutMs(),
                q.maxPendingClientHellos(),
                q.maxPathsPerConnection(),
                q.pathIdleTimeoutMs(),
                q.upstreamSocketReuseDelayMs(),
                q.maxReadsPerEvent(),
                q.maxUnknownDatagrams(),
                q.unknownDatagramSliceMs(),
                q.maxUnconfirmedConnections(),
                q.receiveBufferBytes(),
                q.tokenClockToleranceMs()));
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"));
        XnioEventLoop loop = new XnioEventLoop(limits);
        Map<String, String> ids = new HashMap<>();
        List<EndpointListEntry> listed = new ArrayList<>();
        for (int i = 1; i <= members.size(); i++) {
            ids.put(String.format("%06x", i), "s-" + i);
            listed.add(new EndpointListEntry(
                    new EndpointInfo("s-" + i, EndpointStatus.SERVING, "decin", 0, "std-2c", 1, 0),
                    members.get(i - 1)));
        }
        RetryTokens tokens = new RetryTokens(Map.of(1, new byte[16]), 1, 10_000, 0, () -> new WallTime(0));
        QuicFrontend front = QuicFrontendFixture.onLoop(loop, () -> {
            ProxyCore core = new ProxyCore(
                    new SystemClock(), limits, config.settings(), 1, loop, NodeLog.silent(), Balancer::new);
            core.endpointsChanged(EndpointListKind.COMPLETE, listed);
            return new QuicFrontend(
                    new SystemClock(),
                    limits,
                    new QuicConfig(
                            new InetSocketAddress(LOOPBACK, 0),
                            null,
                            "slot-booking",
                            "vltava-kontejner",
                            4000,
                            new ConnectionIdConfigurations().with(StandIns.NUMBERED, ids),
                            StandIns.RESET,
                            tokens,
                            new RetryPolicy(200, 50, 1000)),
                    config.nameIndex(),
                    loop,
                    core,
                    NodeLog.silent());
        });
        System.out.println(front.address().getPort());
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, UTF_8));
        while (in.readLine() != null) {
            System.gc();
            Runtime r = Runtime.getRuntime();
            long heap = r.totalMemory() - r.freeMemory();
            System.out.println(heap + " "
                    + QuicFrontendFixture.onLoop(loop, front.context().table()::sessionCount) + " "
                    + QuicFrontendFixture.onLoop(loop, front.context().table()::idCount) + " "
                    + QuicFrontendFixture.onLoop(loop, front.context().sockets()::count));
            System.err.println(QuicFrontendFixture.onLoop(
                    loop,
                    () -> java.util.Arrays.stream(QuicCounter.values())
                            .filter(f -> front.context().metrics().get(f) > 0)
                            .map(f -> f + "=" + front.context().metrics().get(f))
                            .toList()));
        }
    }
}

package tulipshed.quic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import tulipshed.config.NodeConfig;
import tulipshed.connectionid.ServerIdGenerator;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.limits.Limits;
import tulipshed.limits.QuicLimits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.proxy.ProxyCore;
import tulipshed.quic.StandIns.Client;
import tulipshed.quic.StandIns.Client.Heard;
import tulipshed.quic.StandIns.Server;
import tulipshed.quic.StandIns.Server.Manner;
import tulipshed.time.SystemClock;
import tulipshed.transport.XnioEventLoop;

/** One or several QUIC frontends with the real core and decision module, between stand-in clients and servers on loopback. */
abstract class QuicFrontendFixture {
    final List<Server> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    XnioEventLoop loop;
    ProxyCore core;
    QuicFrontend front;
    double deadlineMs = 1200;
    int maxConnections = 100;
    double idleMs = 5000;
    double pathIdleMs = 400;
    double socketReuseDelayMs = 5000;
    int maxUnconfirmedConnections = 512;
    int descriptors = 1024;
    RetryTokens tokens;
    RetryPolicy policy;

    interface Task<T> {
        T run() throws IOException;
    }

    /** One node's parts. */
    record Node(XnioEventLoop loop, ProxyCore core, QuicFrontend front) {}

    static <T> T onLoop(XnioEventLoop loop, Task<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(task.run());
            } catch (IOException | RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result.join();
    }

    <T> T onLoop(Task<T> task) {
        return onLoop(loop, task);
    }

    long counted(QuicCounter figure) {
        return onLoop(() -> front.context().metrics().get(figure));
    }

    private Limits limits() {
        Limits l = Limits.forDescriptors(descriptors);
        QuicLimits q = l.quic();
        return l.with(new QuicLimits(
                q.datagramBytes(),
                maxConnections,
                q.maxIdsPerConnection(),
                q.retainedFirstDatagrams(),
                idleMs,
                Math.min(idleMs, 5000),
                q.unresponsiveAfterDatagrams(),
                q.unresponsiveTimeoutMs(),
                q.maxClientHelloBytes(),
                300,
                4,
                q.maxPathsPerConnection(),
                pathIdleMs,
                socketReuseDelayMs,
                q.maxReadsPerEvent(),
                q.maxUnknownDatagrams(),
                q.unknownDatagramSliceMs(),
                maxUnconfirmedConnections,
                q.receiveBufferBytes(),
                q.tokenClockToleranceMs()));
    }

    ConnectionIdConfigurations ids() {
        Map<String, String> members = new HashMap<>();
        for (int i = 0; i < servers.size(); i++) {
            members.put(HexFormat.of().formatHex(servers.get(i).id), "s-" + (i + 1));
        }
        return new ConnectionIdConfigurations().with(StandIns.IDS, members).with(StandIns.NUMBERED, members);
    }

    private QuicConfig config(InetSocketAddress listen, ConnectionIdConfigurations ids) {
        return new QuicConfig(
                listen, listen, "slot-booking", "vltava-kontejner", deadlineMs, ids, StandIns.RESET, tokens, policy);
    }

    /** Starts servers and the node that the test is about. */
    void front(Manner... manners) throws IOException {
        for (Manner manner : manners) {
            servers.add(new Server(servers.size() + 1, manner));
        }
        Node node = node();
        loop = node.loop;
        core = node.core;
        front = node.front;
    }

    /** Starts the same with servers that number their connections. */
    void numberedFront(int count) throws IOException {
        Manner[] manners = new Manner[count];
        java.util.Arrays.fill(manners, Manner.SERVES);
        front(manners);
        for (Server s : servers) {
            s.generator = new ServerIdGenerator(StandIns.NUMBERED, s.id);
        }
    }

    /** Starts another node in front of the same servers. */
    Node node() throws IOException {
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"));
        XnioEventLoop started = new XnioEventLoop(limits());
        Node node = onLoop(started, () -> {
            ProxyCore c = new ProxyCore(
                    new SystemClock(), limits(), config.settings(), 1, started, NodeLog.silent(), Balancer::new);
            return new Node(
                    started,
                    c,
                    new QuicFrontend(
                            new SystemClock(),
                            limits(),
                            config(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), ids()),
                            config.nameIndex(),
                            started,
                            c,
                            NodeLog.silent()));
        });
        nodes.add(node);
        for (int i = 0; i < servers.size(); i++) {
            notifyStatus(node, i, EndpointStatus.SERVING);
        }
        return node;
    }

    void configure(ConnectionIdConfigurations changed) {
        onLoop(() -> {
            front.reconfigure(config(front.address(), changed));
            return null;
        });
    }

    /** Notifies every node of the status of one server. */
    void notifyStatus(int i, EndpointStatus state) {
        nodes.forEach(n -> notifyStatus(n, i, state));
    }

    private void notifyStatus(Node node, int i, EndpointStatus state) {
        EndpointInfo entry = new EndpointInfo("s-" + (i + 1), state, "decin", 0, "std-2c", 1, 0);
        onLoop(node.loop, () -> {
            node.core.endpointsChanged(
                    EndpointListKind.CHANGES,
                    List.of(new EndpointListEntry(entry, servers.get(i).address())));
            return null;
        });
    }

    /** Waits until the loop has read so many datagrams of clients: what was sent may still be in the kernel. */
    void taken(long datagrams) {
        while (counted(QuicCounter.DATAGRAMS) < datagrams) {
            Thread.onSpinWait();
        }
    }

    /** Which server serves the client. */
    int holder(Client client) {
        for (int i = 0; i < servers.size(); i++) {
            if (servers.get(i).conns.containsKey(client.server)) {
                return i;
            }
        }
        return -1;
    }

    static Heard open(Client client) throws IOException {
        client.send(client.initial());
        return client.hear();
    }

    static Heard number(Client client, int number) throws IOException {
        client.sendNumber(number);
        return client.hear();
    }

    @AfterEach
    void stop() {
        servers.forEach(Server::close);
        nodes.forEach(n -> n.loop.stop());
    }
}

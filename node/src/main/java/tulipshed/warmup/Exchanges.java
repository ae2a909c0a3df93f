package tulipshed.warmup;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.RequestClass;
import tulipshed.limits.Limits;
import tulipshed.lineprotocol.LineProtocolFrontend;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;

/**
 * Exchanges between scripted clients and scripted endpoints through a separate frontend, proxy core and decision module
 * with the settings of the node. They share no log, counters, random numbers, learned state or descriptors with the
 * node. Confined to one thread.
 */
final class Exchanges {
    /** Clients that connect at the same virtual time. */
    private static final int CLIENTS_PER_GROUP = 8;

    /** Virtual time between two groups of clients, in which the quotas of the tenants refill. */
    private static final double GROUP_INTERVAL_MS = 1000;

    private static final int ENDPOINT_COUNT = 16;
    private static final int AFFINITY_GROUP_COUNT = 11;
    private static final int PORT = 1; // ignored by InMemoryEventLoop.connect
    private static final String PING = "PING\r\n";

    private final InMemoryEventLoop loop = new InMemoryEventLoop(new ScriptedEndpoint());
    private final BalancerSettings settings;
    private final ProxyCore core;
    private final LineProtocolFrontend frontend;
    private int exchangeCount;

    Exchanges(NodeConfig config, Limits limits) {
        settings = config.settings();
        core = new ProxyCore(loop, limits, settings, config.seed(), loop, NodeLog.silent(), Balancer::new);
        frontend = new LineProtocolFrontend(
                loop, limits, config.nameIndex(), config.loadReportsLatency(), loop, core, NodeLog.silent());
        core.endpointsChanged(EndpointListKind.COMPLETE, endpoints());
    }

    private List<EndpointListEntry> endpoints() {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), PORT);
        List<EndpointListEntry> entries = new ArrayList<>();
        for (int number = 0; number < ENDPOINT_COUNT; number++) {
            EndpointInfo info =
                    new EndpointInfo("warmup-" + number, EndpointStatus.SERVING, settings.zone(), 0, "", 1, 0);
            entries.add(new EndpointListEntry(info, address));
        }
        return entries;
    }

    /** Runs this many exchanges; returns the number of answered ones. */
    int runExchanges(int exchanges) {
        List<ScriptedClient> clients = new ArrayList<>();
        for (int i = 0; i < exchanges; i++) {
            clients.add(connectClient(exchangeCount++));
            if (clients.size() % CLIENTS_PER_GROUP == 0) {
                loop.advance(GROUP_INTERVAL_MS);
            }
        }
        loop.advance(GROUP_INTERVAL_MS);
        return (int) clients.stream().filter(ScriptedClient::isAnswered).count();
    }

    private ScriptedClient connectClient(int number) {
        ScriptedClient client = new ScriptedClient();
        InMemoryConnection connection = new InMemoryConnection(loop, client);
        ExchangeKind kind = ExchangeKind.of(number);
        String open = kind == ExchangeKind.MALFORMED ? "OPEN\r\n" : openCommand(number, kind);
        String lines = kind == ExchangeKind.PINGED ? PING + open : open;
        connection.send(lines.getBytes(StandardCharsets.US_ASCII));
        frontend.accept(connection);
        if (kind == ExchangeKind.CANCELLED) {
            connection.endSending();
        }
        return client;
    }

    private String openCommand(int number, ExchangeKind kind) {
        RequestClass requestClass =
                settings.classes().get(number % settings.classes().size());
        String tenant = settings.tenants().isEmpty()
                ? ""
                : ",t="
                        + settings.tenants()
                                .get(number % settings.tenants().size())
                                .name();
        return "OPEN " + Integer.toHexString(number) + " " + kind + " c=" + requestClass.name() + tenant + ",d="
                + Math.round(Clock.toMillis(requestClass.deadlineUs())) + ",g=" + number % AFFINITY_GROUP_COUNT
                + "\r\n";
    }

    /** Returns the core that serves the exchanges. */
    ProxyCore core() {
        return core;
    }

    /** Returns the number of open client and upstream connections. */
    int openConnections() {
        return loop.openConnections();
    }
}

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
 * Exchanges between scripted clients, a frontend with a core and a decision module of its own, and scripted
 * endpoints, under the settings of the node. Nothing of it is the node's: neither log, counters, random numbers, learned
 * state nor descriptors. Confined to one thread.
 */
final class Exchanges {
    /** As many clients as one turn of the loop may bring. */
    private static final int CLIENTS_AT_ONCE = 8;

    /** Virtual time between these clients and the next ones, in which tenants have their quota again. */
    private static final double INTERVAL_MS = 1000;

    private static final int ENDPOINTS = 16;
    private static final int GROUPS = 11;
    private static final int PORT = 1; // never connected to
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
        for (int number = 0; number < ENDPOINTS; number++) {
            EndpointInfo info =
                    new EndpointInfo("warmup-" + number, EndpointStatus.SERVING, settings.zone(), 0, "", 1, 0);
            entries.add(new EndpointListEntry(info, address));
        }
        return entries;
    }

    /** Plays this many exchanges; returns how many of them were answered. */
    int play(int exchanges) {
        List<ScriptedClient> clients = new ArrayList<>();
        for (int i = 0; i < exchanges; i++) {
            clients.add(connectClient(exchangeCount++));
            if (clients.size() % CLIENTS_AT_ONCE == 0) {
                loop.advance(INTERVAL_MS);
            }
        }
        loop.advance(INTERVAL_MS);
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
                + Math.round(Clock.toMillis(requestClass.deadlineUs())) + ",g=" + number % GROUPS + "\r\n";
    }

    /** The core that the exchanges go through. */
    ProxyCore core() {
        return core;
    }

    /** Connections that are open, of clients and to endpoints. */
    int openConnections() {
        return loop.openConnections();
    }
}

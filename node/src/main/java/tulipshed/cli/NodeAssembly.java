package tulipshed.cli;

import java.io.IOException;
import java.util.Optional;
import org.jboss.logging.Logger;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.discovery.EndpointListSharing;
import tulipshed.discovery.EndpointListUpdate;
import tulipshed.discovery.EndpointWatch;
import tulipshed.lineprotocol.LineProtocolFrontend;
import tulipshed.management.ManagementServer;
import tulipshed.proxy.ProxyCore;
import tulipshed.quic.QuicConfig;
import tulipshed.routing.Router;
import tulipshed.transport.XnioEventLoop;

/** Builds the components of a node in the order of their dependencies. Runs on the event-loop thread. */
final class NodeAssembly {
    private final NodeOptions options;
    private final NodeConfig config;
    private final XnioEventLoop loop;
    private final Logger log;
    private final ClientListener clientListener = new ClientListener();

    NodeAssembly(NodeOptions options, XnioEventLoop loop) {
        this.options = options;
        this.loop = loop;
        config = options.config();
        log = options.log().logger("node");
    }

    /**
     * Builds the components. The management server starts to listen; the other listeners stay closed.
     *
     * @param quicConfig the configuration of the QUIC frontend, or null if it is disabled
     * @throws IOException if the management address cannot be bound
     */
    NodeComponents assemble(QuicConfig quicConfig) throws IOException {
        ProxyCore core = new ProxyCore(
                options.clock(),
                options.limits(),
                config.settings(),
                config.seed(),
                loop,
                options.log(),
                Balancer::new);
        Optional<ManagementServer> management = openManagement(core);
        EndpointWatch watch = createWatch(core);
        Router router = options.operators().router();
        if (router != null) {
            core.setRouter(router);
        }
        core.setHotRestartPeer(options.hotRestart());
        LineProtocolFrontend frontend = createFrontend(core, router);
        PeerMessaging peers = new PeerMessaging(options, loop, core);
        peers.configure(config);
        OptionalQuicFrontend quic = new OptionalQuicFrontend(options, quicConfig, loop, core);
        EndpointListSharing listSharing = new EndpointListSharing(options.hotRestart(), watch, options.log());
        return new NodeComponents(loop, core, frontend, watch, listSharing, clientListener, quic, peers, management);
    }

    private Optional<ManagementServer> openManagement(ProxyCore core) throws IOException {
        if (config.management() == null) {
            return Optional.empty();
        }
        ManagementServer management = new ManagementServer(
                config.management(), options.clock(), options.limits(), loop, core, clientListener::isReady);
        log.info("management server listens on " + management.address());
        return Optional.of(management);
    }

    /** Creates the watch, which passes the cached endpoint list to the core. */
    private EndpointWatch createWatch(ProxyCore core) {
        EndpointWatch watch =
                new EndpointWatch(config.discovery(), options.limits(), loop, core, options.clock(), options.log());
        if (!config.cachedEndpoints().isEmpty()) {
            watch.startFromCachedList(EndpointListUpdate.read(config.cachedEndpoints()));
        }
        core.setEndpointListSource(watch);
        return watch;
    }

    private LineProtocolFrontend createFrontend(ProxyCore core, Router router) {
        LineProtocolFrontend frontend = new LineProtocolFrontend(
                options.clock(),
                options.limits(),
                config.nameIndex(),
                config.loadReportsLatency(),
                loop,
                core,
                options.log());
        frontend.setDeclarations(router == null ? null : router.declarations());
        return frontend;
    }
}

package tulipshed.cli;

import java.util.Optional;
import tulipshed.discovery.EndpointListSharing;
import tulipshed.discovery.EndpointWatch;
import tulipshed.lineprotocol.LineProtocolFrontend;
import tulipshed.management.ManagementServer;
import tulipshed.proxy.ProxyCore;
import tulipshed.transport.XnioEventLoop;

/**
 * The components of one node, as connected by {@link NodeAssembly}. They are confined to the event-loop thread, except
 * for the event loop's {@code execute} and the methods that {@link ClientListener} documents as safe for any thread.
 *
 * @param loop the event loop on which the other components run
 * @param core the request lifecycle and the load-balancing decisions
 * @param frontend the line-protocol frontend
 * @param watch the watch of the endpoint list in discovery
 * @param listSharing the exchange of the endpoint list with the other process of a hot restart
 * @param clientListener the listener for line-protocol clients
 * @param quic the QUIC frontend, which may be disabled
 * @param peers the peer messages, which may be disabled
 * @param management the management server; empty if the configuration does not enable it
 */
record NodeComponents(
        XnioEventLoop loop,
        ProxyCore core,
        LineProtocolFrontend frontend,
        EndpointWatch watch,
        EndpointListSharing listSharing,
        ClientListener clientListener,
        OptionalQuicFrontend quic,
        PeerMessaging peers,
        Optional<ManagementServer> management) {}

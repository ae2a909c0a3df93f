package tulipshed.cli;

import java.util.Optional;
import tulipshed.discovery.EndpointWatch;
import tulipshed.lineprotocol.LineProtocolFrontend;
import tulipshed.management.ManagementServer;
import tulipshed.proxy.ProxyCore;
import tulipshed.transport.XnioEventLoop;

/**
 * The components of one node, as {@link NodeAssembly} connects them. The components are confined to the event-loop
 * thread, but for the event loop's own {@code execute} and what {@link ClientListener} says of itself.
 *
 * @param loop the event loop on which all others run
 * @param core the request lifecycle and the load-balancing decisions
 * @param frontend the line protocol
 * @param watch the endpoint list from discovery
 * @param clientListener the listener for line-protocol clients
 * @param quic the QUIC frontend, which may be off
 * @param peers messages between nodes, which may be off
 * @param management the management server, unless the configuration leaves it off
 */
record NodeComponents(
        XnioEventLoop loop,
        ProxyCore core,
        LineProtocolFrontend frontend,
        EndpointWatch watch,
        ClientListener clientListener,
        OptionalQuicFrontend quic,
        PeerMessaging peers,
        Optional<ManagementServer> management) {}

package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.net.InetSocketAddress;

/** The links over which the nodes of a run reach endpoints and discovery, each with an address of its own. */
public interface NetworkPaths {
    /** Opens the link of a node to an endpoint that listens at {@code target}; returns where the node reaches it. */
    InetSocketAddress openLinkToEndpoint(int node, int endpoint, InetSocketAddress target, LinkObserver observer)
            throws IOException;

    /** Opens the link of a node to discovery, which listens at {@code target}; returns where the node reaches it. */
    InetSocketAddress openLinkToDiscovery(int node, InetSocketAddress target) throws IOException;

    /** When a node can receive what discovery sends it at a moment; both in milliseconds of the scenario. */
    double receivableAtMs(int node, double sentAtMs);

    /** Applies the changes of links that are due at this moment of the scenario. */
    void advanceTo(double nowMs);
}

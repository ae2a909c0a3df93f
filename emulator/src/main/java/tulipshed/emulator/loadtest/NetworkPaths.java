package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.net.InetSocketAddress;

/** How the nodes of a run reach members and discovery: over links, each with an address of its own. */
public interface NetworkPaths {
    /** Hears of the connections over one link, as the node's end has them; called on a thread of the links. */
    interface Ear {
        /** The node has written its first line. */
        void first(Object connection, String line);

        /** The node has ended it, or has been told of its end. */
        void over(Object connection);
    }

    /** Where that node reaches that member, which listens there. */
    InetSocketAddress toMember(int node, int member, InetSocketAddress there, Ear ear) throws IOException;

    /** Where that node reaches discovery, which listens there. */
    InetSocketAddress toDiscovery(int node, InetSocketAddress there) throws IOException;

    /** From when on a node hears what discovery tells it at that moment of the day, in milliseconds. */
    double hearsMs(int node, double atMs);

    /** The day's clock has come to this moment. */
    void turn(double nowMs);
}

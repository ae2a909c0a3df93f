package tulipshed.emulator.faultinjection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tulipshed.emulator.loadtest.LinkObserver;

/**
 * One link of a node: a loopback address of its own, whose connections are passed on to a target as the state of the link
 * allows. All but the address is confined to the proxy's thread.
 */
final class ProxiedLink {
    private static final int BACKLOG = 256;

    private final FaultInjectionProxy proxy;
    private final InetSocketAddress target;
    private final LinkObserver observer;
    private final ServerSocketChannel listener;
    private final Set<ProxiedConnection> connections = new LinkedHashSet<>();
    private LinkState state = LinkState.HEALTHY;
    private long stateSinceNs = System.nanoTime();

    /** Opens a healthy link; {@code observer} may be null. */
    ProxiedLink(FaultInjectionProxy proxy, InetSocketAddress target, LinkObserver observer) throws IOException {
        this.proxy = proxy;
        this.target = target;
        this.observer = observer;
        listener = ServerSocketChannel.open();
        listener.configureBlocking(false);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    }

    /** The address at which the node reaches the target. */
    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    void register() throws IOException {
        listener.register(proxy.selector(), SelectionKey.OP_ACCEPT, this);
    }

    void acceptAll() throws IOException {
        for (SocketChannel accepted = listener.accept(); accepted != null; accepted = listener.accept()) {
            connections.add(new ProxiedConnection(this, proxy, accepted, state.blackhole() ? null : target));
        }
    }

    LinkState state() {
        return state;
    }

    /** Since when the link has its state: until then deliveries were held by the state before, not by the proxy. */
    long stateSinceNs() {
        return stateSinceNs;
    }

    /** What is notified of the node's connections, null for nothing. */
    LinkObserver observer() {
        return observer;
    }

    /** Changes the state; connections that a black hole accepted are reset once it is over. */
    void setState(LinkState changed) {
        if (changed.equals(state)) {
            return;
        }
        boolean endsBlackhole = state.blackhole() && !changed.blackhole();
        state = changed;
        stateSinceNs = System.nanoTime();
        for (ProxiedConnection connection : List.copyOf(connections)) {
            if (endsBlackhole && connection.isUnconnected()) {
                connection.reset(false);
            } else {
                connection.deliver();
            }
        }
    }

    /** Resets a share of the open connections, oldest first; {@code midLine} delivers half of what waits before. */
    void reset(double share, boolean midLine) {
        List<ProxiedConnection> oldestFirst = new ArrayList<>(connections);
        int count = (int) Math.round(oldestFirst.size() * share);
        oldestFirst.subList(0, count).forEach(connection -> connection.reset(midLine));
    }

    /** Passes on what is due on all connections. */
    void deliver() {
        if (!connections.isEmpty()) {
            List.copyOf(connections).forEach(ProxiedConnection::deliver);
        }
    }

    void remove(ProxiedConnection closed) {
        connections.remove(closed);
    }

    void close() throws IOException {
        listener.close();
        List.copyOf(connections).forEach(connection -> connection.reset(false));
    }
}

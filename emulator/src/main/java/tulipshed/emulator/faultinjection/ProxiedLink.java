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
import tulipshed.emulator.loadtest.NetworkPaths;

/** One link: an address of its own, whose connections are carried on to another under what the link is going through. */
final class ProxiedLink {
    private static final int BACKLOG = 256;

    private final FaultInjectionProxy relays;
    private final InetSocketAddress to;
    private final NetworkPaths.Ear ear;
    private final ServerSocketChannel listener;
    private final Set<ProxiedConnection> carried = new LinkedHashSet<>();
    private LinkState condition = LinkState.SOUND;
    private long changedNs = System.nanoTime();

    ProxiedLink(FaultInjectionProxy relays, InetSocketAddress to, NetworkPaths.Ear ear) throws IOException {
        this.relays = relays;
        this.to = to;
        this.ear = ear;
        listener = ServerSocketChannel.open();
        listener.configureBlocking(false);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    // ---- On the relays' thread from here on ----

    void register() throws IOException {
        listener.register(relays.selector(), SelectionKey.OP_ACCEPT, this);
    }

    void accept() throws IOException {
        for (SocketChannel c = listener.accept(); c != null; c = listener.accept()) {
            carried.add(new ProxiedConnection(this, relays, c, condition.deaf() ? null : to));
        }
    }

    LinkState condition() {
        return condition;
    }

    /** Since when it has been as it is: what was held until then is no fault of the relays. */
    long changedNs() {
        return changedNs;
    }

    NetworkPaths.Ear ear() {
        return ear;
    }

    void become(LinkState changed) {
        if (changed.equals(condition)) {
            return;
        }
        boolean heard = condition.deaf() && !changed.deaf();
        condition = changed;
        changedNs = System.nanoTime();
        for (ProxiedConnection c : List.copyOf(carried)) {
            if (heard && c.unheard()) {
                c.reset(false);
            } else {
                c.deliver();
            }
        }
    }

    /** Breaks what is open, the oldest share of it; {@code midLine} lets half of what a side is owed through before. */
    void reset(double share, boolean midLine) {
        List<ProxiedConnection> all = new ArrayList<>(carried);
        all.subList(0, (int) Math.round(all.size() * share)).forEach(c -> c.reset(midLine));
    }

    void deliver() {
        if (!carried.isEmpty()) {
            List.copyOf(carried).forEach(ProxiedConnection::deliver);
        }
    }

    void ended(ProxiedConnection c) {
        carried.remove(c);
    }

    void close() throws IOException {
        listener.close();
        List.copyOf(carried).forEach(c -> c.reset(false));
    }
}

package tulipshed.quic;

import java.util.LinkedHashSet;
import java.util.Set;
import tulipshed.limits.Limits;
import tulipshed.transport.XnioEventLoop;

/**
 * Decides whether a new connection is admitted, and counts what an attacker could exhaust: connections whose ClientHello is
 * incomplete, whose client address is not validated (RFC 9000 section 8.1), or that were resumed by a connection ID alone.
 * Confined to the event-loop thread.
 */
final class ConnectionAdmission {
    private final Limits limits;
    private final ConnectionTable table;
    private final UpstreamSocketPool sockets;
    private final XnioEventLoop loop;
    private final QuicMetrics metrics;

    /** Resumed connections that their endpoint has not confirmed, oldest first. */
    private final Set<QuicSession> unconfirmed = new LinkedHashSet<>();

    private int pendingClientHellos;
    private int unvalidatedAddresses;
    private boolean isDraining;

    /** Admits connections to the table while sockets and descriptors are left. */
    ConnectionAdmission(
            Limits limits, ConnectionTable table, UpstreamSocketPool sockets, XnioEventLoop loop, QuicMetrics metrics) {
        this.limits = limits;
        this.table = table;
        this.sockets = sockets;
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Admits no connection from now on. */
    void startDraining() {
        isDraining = true;
    }

    /** Whether a connection is admitted whose ClientHello is complete, or needs none. */
    boolean admits() {
        return !isFull() && !isDraining;
    }

    /** Whether a connection is admitted whose ClientHello is incomplete. */
    boolean admitsIncompleteClientHello() {
        return admits() && pendingClientHellos < limits.quic().maxPendingClientHellos();
    }

    /** Whether the limit of connections is reached, or no descriptor is left where no upstream socket could be shared. */
    private boolean isFull() {
        return table.sessionCount() >= limits.quic().maxConnections()
                || (sockets.count() == 0 && !loop.hasCapacityForClient());
    }

    /** A connection has an incomplete ClientHello. */
    void clientHelloStarted() {
        pendingClientHellos++;
    }

    /** A connection has an incomplete ClientHello no longer. */
    void clientHelloEnded() {
        pendingClientHellos--;
    }

    /** How many connections have an incomplete ClientHello. */
    int pendingClientHellos() {
        return pendingClientHellos;
    }

    /** A connection has a client address that is not validated. */
    void addressUnvalidated() {
        unvalidatedAddresses++;
    }

    /** The address of such a connection is validated, or the connection has ended. */
    void addressSettled() {
        unvalidatedAddresses--;
    }

    /** How many connections have a client address that is not validated. */
    int unvalidatedAddresses() {
        return unvalidatedAddresses;
    }

    /** A connection was resumed. Server IDs can be forged, so the oldest unconfirmed connection is evicted above a limit. */
    void resumed(QuicSession session) {
        unconfirmed.add(session);
        if (unconfirmed.size() > limits.quic().maxUnconfirmedConnections()) {
            QuicSession oldest = unconfirmed.iterator().next();
            unconfirmed.remove(oldest);
            metrics.count(QuicCounter.UNCONFIRMED_EVICTED);
            oldest.evict();
        }
    }

    /** The endpoint of a resumed connection has answered, or the connection has ended. */
    void confirmed(QuicSession session) {
        unconfirmed.remove(session);
    }
}

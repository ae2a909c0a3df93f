package tulipshed.limits;

/**
 * All sizes, counts and timeouts of the node that are not settings of its site, grouped by subject. Created once at startup
 * and passed to all components. Immutable. Names that end in {@code Ms} are in milliseconds, those in {@code Bytes} in bytes.
 */
public record Limits(
        SocketLimits sockets,
        LineProtocolLimits lineProtocol,
        DiscoveryLimits discovery,
        RequestLimits requests,
        ShutdownLimits shutdown,
        ManagementLimits management,
        QuicLimits quic,
        HealthCheckLimits healthChecks,
        PeerLimits peers,
        WarmupLimits warmup) {

    /** Returns the default limits of a node that may have this many open file descriptors. */
    public static Limits forDescriptors(int descriptors) {
        return new Limits(
                SocketLimits.defaults(descriptors),
                LineProtocolLimits.defaults(),
                DiscoveryLimits.defaults(),
                RequestLimits.defaults(),
                ShutdownLimits.defaults(),
                ManagementLimits.defaults(),
                QuicLimits.defaults(),
                HealthCheckLimits.defaults(),
                PeerLimits.defaults(),
                WarmupLimits.defaults());
    }

    /** Returns these limits with different socket limits. */
    public Limits with(SocketLimits changed) {
        return new Limits(
                changed, lineProtocol, discovery, requests, shutdown, management, quic, healthChecks, peers, warmup);
    }

    /** Returns these limits with different limits of the line protocol. */
    public Limits with(LineProtocolLimits changed) {
        return new Limits(
                sockets, changed, discovery, requests, shutdown, management, quic, healthChecks, peers, warmup);
    }

    /** Returns these limits with different discovery limits. */
    public Limits with(DiscoveryLimits changed) {
        return new Limits(
                sockets, lineProtocol, changed, requests, shutdown, management, quic, healthChecks, peers, warmup);
    }

    /** Returns these limits with different QUIC limits. */
    public Limits with(QuicLimits changed) {
        return new Limits(
                sockets, lineProtocol, discovery, requests, shutdown, management, changed, healthChecks, peers, warmup);
    }

    /**
     * The maximum total number of descriptors in use by client and upstream connections, including those that a new client
     * connection needs, for that client connection to be accepted.
     */
    public int connectionDescriptors() {
        return Math.max(2, sockets.descriptors() - sockets.reservedDescriptors() - managementDescriptors());
    }

    /**
     * The maximum total number of descriptors in use by client and upstream connections, including the one that an attempt is
     * about to open, for its upstream connection to be opened. It is higher than {@link #connectionDescriptors}, so that
     * accepted clients do not deprive each other of upstream connections.
     */
    public int attemptDescriptors() {
        return Math.max(2, sockets.descriptors() - sockets.reservedDescriptors() / 2 - managementDescriptors());
    }

    /** Returns these limits with different warm-up limits. */
    public Limits with(WarmupLimits changed) {
        return new Limits(
                sockets, lineProtocol, discovery, requests, shutdown, management, quic, healthChecks, peers, changed);
    }

    private int managementDescriptors() {
        return 2 * management.connections();
    }

    /**
     * The maximum number of client connections that are open or wait to be processed: half of the descriptors for connections,
     * as each may need an upstream connection, plus those accepted by the next accept events.
     */
    public int maxClientConnections() {
        return Math.max(2, connectionDescriptors() / 2) + 2 * sockets.maxAcceptsPerEvent();
    }

    /** The maximum number of client connections whose first line is incomplete; clients send that line immediately. */
    public int maxUnopenedConnections() {
        return Math.max(1, connectionDescriptors() / 4);
    }
}

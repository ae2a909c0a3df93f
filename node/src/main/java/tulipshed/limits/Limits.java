package tulipshed.limits;

/**
 * Every size, count and timeout of the node that is not a setting of its site, by concern. Created once at the start and
 * passed to all parts. Immutable; names that end in {@code Ms} are milliseconds, those that end in {@code Bytes} bytes.
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

    /** The default limits of a node that may hold this many file descriptors. */
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

    /** These limits with other ones for sockets. */
    public Limits with(SocketLimits changed) {
        return new Limits(
                changed, lineProtocol, discovery, requests, shutdown, management, quic, healthChecks, peers, warmup);
    }

    /** These limits with other ones for the line protocol. */
    public Limits with(LineProtocolLimits changed) {
        return new Limits(
                sockets, changed, discovery, requests, shutdown, management, quic, healthChecks, peers, warmup);
    }

    /** These limits with other ones for discovery. */
    public Limits with(DiscoveryLimits changed) {
        return new Limits(
                sockets, lineProtocol, changed, requests, shutdown, management, quic, healthChecks, peers, warmup);
    }

    /** These limits with other ones for QUIC. */
    public Limits with(QuicLimits changed) {
        return new Limits(
                sockets, lineProtocol, discovery, requests, shutdown, management, changed, healthChecks, peers, warmup);
    }

    /** The descriptors that all connections together may hold when a client connection is accepted. */
    public int connectionDescriptors() {
        return Math.max(2, sockets.descriptors() - sockets.reservedDescriptors() - managementDescriptors());
    }

    /**
     * The descriptors that all connections together may hold when an attempt opens its upstream connection. It is higher
     * than that for client connections, so that clients accepted at the same time do not starve each other.
     */
    public int attemptDescriptors() {
        return Math.max(2, sockets.descriptors() - sockets.reservedDescriptors() / 2 - managementDescriptors());
    }

    /** These limits with other ones for the warm-up. */
    public Limits with(WarmupLimits changed) {
        return new Limits(
                sockets, lineProtocol, discovery, requests, shutdown, management, quic, healthChecks, peers, changed);
    }

    private int managementDescriptors() {
        return 2 * management.connections();
    }

    /**
     * The client connections that may be open or wait to be processed: half of the descriptors for connections, as each
     * may need an upstream connection, and those of the next accept events.
     */
    public int clientConnections() {
        return Math.max(2, connectionDescriptors() / 2) + 2 * sockets.maxAcceptsPerEvent();
    }

    /** The client connections without a complete first line at a time; clients send that line at once. */
    public int unopenedConnections() {
        return Math.max(1, connectionDescriptors() / 4);
    }
}

package tulipshed.limits;

/**
 * Every size, count and timeout of the node that is not a setting of its site, by concern. Created once at the start and
 * passed to all parts. Immutable; names that end in {@code Ms} are milliseconds, those that end in {@code Bytes} bytes.
 */
public record Limits(
        Sockets sockets,
        LineProtocol lineProtocol,
        Discovery discovery,
        Requests requests,
        Shutdown shutdown,
        Management management,
        Quic quic,
        HealthChecks healthChecks,
        Peers peers) {

    /**
     * Sockets and buffers of all protocol frontends.
     *
     * @param relayBytes the bytes buffered for one direction of one relayed connection
     * @param readBytes the most bytes that one read takes from a socket
     * @param descriptors the file descriptors that the process may hold
     * @param reservedDescriptors the descriptors set aside for the virtual machine, the listeners and discovery
     * @param backlog the connections that may wait in the kernel to be accepted
     * @param maxReadsPerEvent the reads of one connection before other connections have their turn
     * @param maxAcceptsPerEvent the connections accepted before descriptors of closed connections are released
     * @param lingerTimeoutMs how long a connection may remain after one side has ended it
     * @param sweepIntervalMs how often connections are checked for expired timeouts
     * @param overloadRetryAfterMs the Retry-After given to clients that are rejected for lack of descriptors
     */
    public record Sockets(
            int relayBytes,
            int readBytes,
            int descriptors,
            int reservedDescriptors,
            int backlog,
            int maxReadsPerEvent,
            int maxAcceptsPerEvent,
            double lingerTimeoutMs,
            double sweepIntervalMs,
            double overloadRetryAfterMs) {}

    /**
     * The platform's line protocol.
     *
     * @param lineBytes the length of the longest line, its end included
     * @param firstLineTimeoutMs how long the first line may take to be complete
     * @param pings the pings that a connection may send before its first line
     * @param longestWaitMs the longest timeout that a client may declare
     * @param protocolErrorLogMs the time between two log lines about malformed input
     * @param maxRedials how often an attempt is dialed again where this machine itself could not begin to connect
     * @param firstRedialPauseMs the pause before the second of those dials, as the first follows at once; each further
     *     pause is twice as long as the one before
     */
    public record LineProtocol(
            int lineBytes,
            double firstLineTimeoutMs,
            int pings,
            double longestWaitMs,
            double protocolErrorLogMs,
            int maxRedials,
            double firstRedialPauseMs) {}

    /**
     * Requests to the discovery service and to its agents.
     *
     * @param headBytes the length of the longest response head
     * @param bodyBytes the length of the longest response body
     * @param connectTimeoutMs how long a connection may take to be established
     * @param watchWaitMs how long a watch request waits at the service for a change
     * @param watchTimeoutMs how long after that wait a missing response counts as a failure; failure and next request
     *     must fit into 6 s
     * @param responseTimeoutMs how long a response may take from its first byte until it is complete
     * @param agentWaitMs how long a request waits at an agent, which receives lists by push; such requests cost nothing,
     *     and short ones reveal an unresponsive agent soon
     * @param agentTimeoutMs how long after that wait a missing response of an agent counts as a failure
     * @param agentRetryDelayMs the delay after a failed request to an agent
     * @param agentPollIntervalMs the time between two requests to an agent that has no change and answers at once; under
     *     200 ms, or the watch would end
     */
    public record Discovery(
            int headBytes,
            int bodyBytes,
            double connectTimeoutMs,
            double watchWaitMs,
            double watchTimeoutMs,
            double responseTimeoutMs,
            double agentWaitMs,
            double agentTimeoutMs,
            double agentRetryDelayMs,
            double agentPollIntervalMs) {}

    /**
     * Timeouts of requests, whichever the protocol.
     *
     * @param responseMarginMs how long before the client's deadline the final response is sent, so that it arrives in time
     * @param endpointTimeoutMs how long an endpoint may send nothing after a client's message before it counts as
     *     unresponsive; usual pauses are shorter
     * @param adoptionTimeoutMs how long connections that were established before the start may take to reconnect
     * @param unknownEndpointPollMs how often the endpoint list is checked for the endpoint of such a connection
     * @param unlistedEndpointTimeoutMs how long that endpoint is awaited once discovery has sent a list since the start
     * @param routePollMs how often routes are checked for a change of pool
     */
    public record Requests(
            double responseMarginMs,
            double endpointTimeoutMs,
            double adoptionTimeoutMs,
            double unknownEndpointPollMs,
            double unlistedEndpointTimeoutMs,
            double routePollMs) {}

    /**
     * Graceful shutdown and hot restart.
     *
     * @param acceptMs how long after SIGTERM new connections are accepted
     * @param migrateAfterMs how long after SIGTERM clients are first asked to migrate; the other nodes may be restarting
     *     until then
     * @param maxDeadlineMs the longest deadline of a request that the shutdown waits for
     * @param killAfterDeadlineMs how long after the longest deadline, counted from SIGTERM, the process may be killed
     * @param holdUpMs how long the process may be held up at any moment and must still end before it is killed
     * @param exitMs what the process takes from SIGTERM to its shutdown hook, and from that to its exit
     * @param signalOrderMs how long after a reload it may still have come after a signal to end
     * @param lingerMs how long connections that end without a request may take to be closed by their clients
     * @param responseLingerMs the same for those that get their final response last
     * @param minLingerMs the same at least, with the shortest deadlines
     * @param takeoverListTimeoutMs how long a process that takes over waits for discovery's list before it uses its own
     * @param sharedIds the most connection IDs that a process publishes to the other process of its node
     */
    public record Shutdown(
            double acceptMs,
            double migrateAfterMs,
            double maxDeadlineMs,
            double killAfterDeadlineMs,
            double holdUpMs,
            double exitMs,
            double signalOrderMs,
            double lingerMs,
            double responseLingerMs,
            double minLingerMs,
            double takeoverListTimeoutMs,
            int sharedIds) {}

    /**
     * The management server.
     *
     * @param connections the connections served at a time; as many again may be accepted until the oldest are closed
     * @param headBytes the length of the longest request head
     * @param requestTimeoutMs how long a request may take to be complete, and its response to be read
     */
    public record Management(int connections, int headBytes, double requestTimeoutMs) {}

    /**
     * The frontend for QUIC.
     *
     * @param datagramBytes the length of the longest datagram that is accepted
     * @param maxConnections the connections tracked at a time
     * @param maxIdsPerConnection the connection IDs learned for one connection; the oldest is dropped first
     * @param retainedFirstDatagrams the first datagrams of a client that are retained for a retry
     * @param idleTimeoutMs how long a connection may be idle before it is dropped
     * @param finalResponseRepeatMs how long a final response is repeated to a client that sends its first packet again
     * @param unresponsiveAfterDatagrams the datagrams without a reply after which an endpoint may count as unresponsive
     * @param unresponsiveTimeoutMs the time without a reply that is needed besides, as datagrams may be lost
     * @param maxClientHelloBytes the length of the longest TLS ClientHello
     * @param clientHelloTimeoutMs how long an incomplete ClientHello is awaited
     * @param maxPendingClientHellos the connections with an incomplete ClientHello at a time; each buffers its first
     *     datagrams and the part of the ClientHello received
     * @param maxPathsPerConnection the network paths of one client that are open at a time
     * @param pathIdleTimeoutMs how long a path other than the client's latest may be idle before its slot on the upstream
     *     socket is released
     * @param upstreamSocketReuseDelayMs how long a released slot on an upstream socket is not assigned again
     * @param maxReadsPerEvent the datagrams read from one socket before other sockets have their turn
     * @param maxUnknownDatagrams the datagrams with an unknown connection ID that wait until those of known connections
     *     are forwarded
     * @param unknownDatagramSliceMs how long such datagrams are processed before sockets are read again
     * @param maxUnconfirmedConnections the connections adopted by their ID alone that no endpoint has confirmed; the
     *     oldest is evicted
     * @param receiveBufferBytes the kernel's receive buffer of a socket, if the kernel allows that much
     * @param tokenClockToleranceMs how far the wall clock of a node that sealed a Retry token may be from this node's
     */
    public record Quic(
            int datagramBytes,
            int maxConnections,
            int maxIdsPerConnection,
            int retainedFirstDatagrams,
            double idleTimeoutMs,
            double finalResponseRepeatMs,
            int unresponsiveAfterDatagrams,
            double unresponsiveTimeoutMs,
            int maxClientHelloBytes,
            double clientHelloTimeoutMs,
            int maxPendingClientHellos,
            int maxPathsPerConnection,
            double pathIdleTimeoutMs,
            double upstreamSocketReuseDelayMs,
            int maxReadsPerEvent,
            int maxUnknownDatagrams,
            double unknownDatagramSliceMs,
            int maxUnconfirmedConnections,
            int receiveBufferBytes,
            double tokenClockToleranceMs) {}

    /**
     * Health checks of endpoints.
     *
     * @param connections the connections kept for them, one for an endpoint
     * @param responseTimeoutMs how long a response may take, from the decision to check on and connecting included
     * @param idleTimeoutMs how long an unused connection is kept
     */
    public record HealthChecks(int connections, double responseTimeoutMs, double idleTimeoutMs) {}

    /**
     * Messages between nodes.
     *
     * @param maxBodyBytes the length of the longest message, which the protocol sets
     * @param maxPerSenderPerSecond the messages accepted from one sender in a second; more are dropped
     */
    public record Peers(int maxBodyBytes, int maxPerSenderPerSecond) {}

    /** The default limits of a node that may hold this many file descriptors. */
    public static Limits forDescriptors(int descriptors) {
        return DefaultLimits.forDescriptors(descriptors);
    }

    /** These limits with other ones for sockets. */
    public Limits with(Sockets changed) {
        return new Limits(changed, lineProtocol, discovery, requests, shutdown, management, quic, healthChecks, peers);
    }

    /** These limits with other ones for the line protocol. */
    public Limits with(LineProtocol changed) {
        return new Limits(sockets, changed, discovery, requests, shutdown, management, quic, healthChecks, peers);
    }

    /** These limits with other ones for discovery. */
    public Limits with(Discovery changed) {
        return new Limits(sockets, lineProtocol, changed, requests, shutdown, management, quic, healthChecks, peers);
    }

    /** These limits with other ones for QUIC. */
    public Limits with(Quic changed) {
        return new Limits(
                sockets, lineProtocol, discovery, requests, shutdown, management, changed, healthChecks, peers);
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

package tulipshed.limits;

/**
 * Every size, count and time of the node that is not a setting of the site, by concern. Filled once at start and handed
 * down; times are in milliseconds, sizes in bytes.
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

    /** Sockets and buffers, whichever front they belong to. */
    public record Sockets(
            /** What a relay holds for one direction of one connection. */
            int relayBytes,
            /** What one read takes from a socket at most. */
            int readBytes,
            /** Descriptors that the process may hold. */
            int descriptors,
            /** Descriptors kept for the virtual machine, the listener and discovery. */
            int reservedDescriptors,
            /** Connections waiting in the kernel to be accepted. */
            int backlog,
            /** Reads of one connection before the others have their turn. */
            int maxReadsPerEvent,
            /** Accepted connections that are looked at before the descriptors of those closed are given back. */
            int maxAcceptsPerEvent,
            /** How long a connection may linger once one side has ended it. */
            double lingerTimeoutMs,
            /** How often what may have become too old is looked at. */
            double sweepIntervalMs,
            /** When a client that was turned away for want of descriptors should come again. */
            double overloadRetryAfterMs) {}

    /** The platform's line protocol. */
    public record LineProtocol(
            /** Longest line, with its end. */
            int lineBytes,
            /** A first line must be complete within this time. */
            double firstLineTimeoutMs,
            /** Pings that a connection may send before its first line. */
            int pings,
            /** The longest time that a client may say it waits. */
            double longestWaitMs,
            /** Between two lines of the log on what clients sent that cannot be used. */
            double protocolErrorLogMs) {}

    /** Calls to discovery. */
    public record Discovery(
            /** Longest head of an answer. */
            int headBytes,
            /** Longest body of an answer. */
            int bodyBytes,
            /** A connection that is not up within this time is given up. */
            double connectTimeoutMs,
            /** How long a watch waits there for something new. */
            double watchWaitMs,
            /** How long after that wait silence counts as a failed call; with it and the next call within 6 s. */
            double watchTimeoutMs,
            /** An answer must be whole within this time of its first byte. */
            double responseTimeoutMs,
            /** How long a call to an agent waits there that lists are pushed to: calls are free, and a silent one shows soon. */
            double agentWaitMs,
            /** How long after that wait its silence counts as a failed call. */
            double agentTimeoutMs,
            /** After a failed call to an agent, until the next. */
            double agentRetryDelayMs,
            /** Between two calls to an agent that has nothing new and answers at once; under 200 ms, or the watch would end. */
            double agentPollIntervalMs) {}

    /** What the core waits for. */
    public record Requests(
            /** Final answers are due this much before the client gives up, so that they arrive in time. */
            double responseMarginMs,
            /** A member that returned nothing for this long after a client's line counts as silent; pauses are shorter. */
            double endpointTimeoutMs,
            /** How long connections that stood before the start may take to come up again. */
            double adoptionTimeoutMs,
            /** How often the list is looked at for the member of such a connection. */
            double unknownEndpointPollMs,
            /** How long that member is waited for where discovery has told its list since the start. */
            double unlistedEndpointTimeoutMs,
            /** How often it is looked at whether routes should use other pools. */
            double routePollMs) {}

    /** Taking a process out of service. */
    public record Shutdown(
            /** After SIGTERM: how long new connections are taken. */
            double acceptMs,
            /** From when on clients are asked to move; until then the others may still be coming back. */
            double migrateAfterMs,
            /** The longest that a deadline counts. */
            double maxDeadlineMs,
            /** How long after it all is answered and moved. */
            double endMarginMs,
            /** How long the process that takes over waits for discovery's list before it serves with its own. */
            double takeoverListTimeoutMs,
            /** Open ids that a process shows to the other process of its node. */
            int sharedIds) {}

    /** The second address. */
    public record Management(
            /** Connections at a time; as many again may be accepted until the oldest have given way. */
            int connections,
            /** Longest head of a call. */
            int headBytes,
            /** A call must be whole within this time, and its answer read within this time. */
            double requestTimeoutMs) {}

    /** The front for connection ids of QUIC. */
    public record Quic(
            /** Largest datagram taken. */
            int datagramBytes,
            /** Connections kept at most. */
            int maxConnections,
            /** Ids learned of one connection at most; the oldest learned goes first. */
            int maxIdsPerConnection,
            /** First datagrams of a client kept for a further attempt. */
            int retainedFirstDatagrams,
            /** A connection on which nothing came for this long is forgotten. */
            double idleTimeoutMs,
            /** How long a final answer is repeated to a client that sends its first packet again. */
            double finalResponseRepeatMs,
            /** A member counts as silent only after this many datagrams without one in return. */
            int unresponsiveAfterDatagrams,
            /** And after this long without one: datagrams may be lost on the way. */
            double unresponsiveTimeoutMs,
            /** Longest client hello. */
            int maxClientHelloBytes,
            /** How long one that is not whole is waited for. */
            double clientHelloTimeoutMs,
            /** Connections whose hello is waited for at most; each holds its first datagrams and what it has of the hello. */
            int maxPendingClientHellos,
            /** Networks in which one client is at a time. */
            int maxPathsPerConnection,
            /** After so long without a word a path that is not the client's last gives back its place at the member. */
            double pathIdleTimeoutMs,
            /** A place on a socket towards a member is not given to another flow before so long. */
            double upstreamSocketReuseDelayMs,
            /** Datagrams read of one socket before the others have their turn. */
            int maxReadsPerEvent,
            /** Datagrams of which nothing is known that wait until those of known connections have been passed on. */
            int maxUnknownDatagrams,
            /** How long such datagrams are looked at before the sockets have their turn again. */
            double unknownDatagramSliceMs,
            /** Connections carried on by their id alone that no member has answered yet; the oldest gives way. */
            int maxUnconfirmedConnections,
            /** What the kernel may hold of datagrams that wait to be read, where it allows that much. */
            int receiveBufferBytes) {}

    /** Probes of pool members. */
    public record HealthChecks(
            /** Connections kept for them, one a member. */
            int connections,
            /** How long an answer is waited for, from the probe on, with the way there. */
            double responseTimeoutMs,
            /** How long a connection is kept unused. */
            double idleTimeoutMs) {}

    /** Datagrams between nodes. */
    public record Peers(
            /** Largest body, which the protocol sets. */
            int maxBodyBytes,
            /** Datagrams of one sender that are taken in a second; more are dropped. */
            int maxPerSenderPerSecond) {}

    /** The limits of a node that may hold this many descriptors. */
    public static Limits forDescriptors(int descriptors) {
        return new Limits(
                new Sockets(16 * 1024, 16 * 1024, descriptors, 64, 1024, 4, 8, 900, 250, 500),
                new LineProtocol(4096, 2_000, 16, 120_000, 10_000),
                new Discovery(8 * 1024, 4 * 1024 * 1024, 500, 2_500, 1_500, 1_000, 1_000, 500, 200, 100),
                new Requests(40, 800, 40_000, 100, 1_000, 100),
                new Shutdown(500, 1_500, 3_000, 200, 1_500, 4096),
                new Management(16, 4 * 1024, 2_000),
                new Quic(
                        2048,
                        4096,
                        8,
                        8,
                        30_000,
                        5_000,
                        3,
                        2_500,
                        8 * 1024,
                        1_000,
                        256,
                        4,
                        10_000,
                        5_000,
                        64,
                        256,
                        1,
                        512,
                        4 * 1024 * 1024),
                new HealthChecks(64, 500, 5_000),
                new Peers(256, 200));
    }

    /** The same but for these. */
    public Limits with(Sockets changed) {
        return new Limits(changed, lineProtocol, discovery, requests, shutdown, management, quic, healthChecks, peers);
    }

    /** The same but for these. */
    public Limits with(LineProtocol changed) {
        return new Limits(sockets, changed, discovery, requests, shutdown, management, quic, healthChecks, peers);
    }

    /** The same but for these. */
    public Limits with(Discovery changed) {
        return new Limits(sockets, lineProtocol, changed, requests, shutdown, management, quic, healthChecks, peers);
    }

    /** The same but for these. */
    public Limits with(Quic changed) {
        return new Limits(
                sockets, lineProtocol, discovery, requests, shutdown, management, changed, healthChecks, peers);
    }

    /** How many descriptors connections may take together when a new one is taken. */
    public int connectionDescriptors() {
        return Math.max(2, sockets.descriptors() - sockets.reservedDescriptors() - 2 * management.connections());
    }

    /** How many they may take when a flow is opened: clients taken at the same time must not starve each other. */
    public int attemptDescriptors() {
        return Math.max(2, sockets.descriptors() - sockets.reservedDescriptors() / 2 - 2 * management.connections());
    }

    /**
     * How many clients' connections may be open or wait to be looked at: half of what connections may take, as each may have
     * a flow, and those that are looked at next.
     */
    public int clientConnections() {
        return Math.max(2, connectionDescriptors() / 2) + 2 * sockets.maxAcceptsPerEvent();
    }

    /** Connections without a whole first line at a time; a client that means it sends its line at once. */
    public int unopenedConnections() {
        return Math.max(1, connectionDescriptors() / 4);
    }
}

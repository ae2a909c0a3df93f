package tulipshed.limits;

/** The default values of {@link Limits}, each with its name and unit. */
final class DefaultLimits {
    private static final int KIBIBYTE = 1024;
    private static final int MEBIBYTE = 1024 * KIBIBYTE;

    private DefaultLimits() {}

    static Limits forDescriptors(int descriptors) {
        return new Limits(
                sockets(descriptors),
                lineProtocol(),
                discovery(),
                requests(),
                shutdown(),
                management(),
                quic(),
                healthChecks(),
                peers());
    }

    private static Limits.Sockets sockets(int descriptors) {
        int relayBytes = 16 * KIBIBYTE;
        int readBytes = 16 * KIBIBYTE;
        int reservedDescriptors = 64;
        int backlog = 1024;
        int maxReadsPerEvent = 4;
        int maxAcceptsPerEvent = 8;
        double lingerTimeoutMs = 900;
        double sweepIntervalMs = 250;
        double overloadRetryAfterMs = 500;
        return new Limits.Sockets(
                relayBytes,
                readBytes,
                descriptors,
                reservedDescriptors,
                backlog,
                maxReadsPerEvent,
                maxAcceptsPerEvent,
                lingerTimeoutMs,
                sweepIntervalMs,
                overloadRetryAfterMs);
    }

    private static Limits.LineProtocol lineProtocol() {
        int lineBytes = 4 * KIBIBYTE;
        double firstLineTimeoutMs = 2_000;
        int pings = 16;
        double longestWaitMs = 120_000;
        double protocolErrorLogMs = 10_000;
        int maxRedials = 5;
        double firstRedialPauseMs = 2;
        return new Limits.LineProtocol(
                lineBytes,
                firstLineTimeoutMs,
                pings,
                longestWaitMs,
                protocolErrorLogMs,
                maxRedials,
                firstRedialPauseMs);
    }

    private static Limits.Discovery discovery() {
        int headBytes = 8 * KIBIBYTE;
        int bodyBytes = 4 * MEBIBYTE;
        double connectTimeoutMs = 500;
        double watchWaitMs = 2_500;
        double watchTimeoutMs = 1_500;
        double responseTimeoutMs = 1_000;
        double agentWaitMs = 1_000;
        double agentTimeoutMs = 500;
        double agentRetryDelayMs = 200;
        double agentPollIntervalMs = 100;
        return new Limits.Discovery(
                headBytes,
                bodyBytes,
                connectTimeoutMs,
                watchWaitMs,
                watchTimeoutMs,
                responseTimeoutMs,
                agentWaitMs,
                agentTimeoutMs,
                agentRetryDelayMs,
                agentPollIntervalMs);
    }

    private static Limits.Requests requests() {
        double responseMarginMs = 40;
        double endpointTimeoutMs = 800;
        double adoptionTimeoutMs = 40_000;
        double unknownEndpointPollMs = 100;
        double unlistedEndpointTimeoutMs = 1_000;
        double routePollMs = 100;
        return new Limits.Requests(
                responseMarginMs,
                endpointTimeoutMs,
                adoptionTimeoutMs,
                unknownEndpointPollMs,
                unlistedEndpointTimeoutMs,
                routePollMs);
    }

    private static Limits.Shutdown shutdown() {
        double acceptMs = 500;
        double migrateAfterMs = 1_500;
        double maxDeadlineMs = 3_000;
        double killAfterDeadlineMs = 700;
        double holdUpMs = 150;
        double exitMs = 50;
        double signalOrderMs = 500;
        double lingerMs = 300;
        double responseLingerMs = 100;
        double minLingerMs = 50;
        double takeoverListTimeoutMs = 1_500;
        int sharedIds = 4096;
        return new Limits.Shutdown(
                acceptMs,
                migrateAfterMs,
                maxDeadlineMs,
                killAfterDeadlineMs,
                holdUpMs,
                exitMs,
                signalOrderMs,
                lingerMs,
                responseLingerMs,
                minLingerMs,
                takeoverListTimeoutMs,
                sharedIds);
    }

    private static Limits.Management management() {
        int connections = 16;
        int headBytes = 4 * KIBIBYTE;
        double requestTimeoutMs = 2_000;
        return new Limits.Management(connections, headBytes, requestTimeoutMs);
    }

    private static Limits.Quic quic() {
        int datagramBytes = 2 * KIBIBYTE;
        int maxConnections = 4096;
        int maxIdsPerConnection = 8;
        int retainedFirstDatagrams = 8;
        double idleTimeoutMs = 30_000;
        double finalResponseRepeatMs = 5_000;
        int unresponsiveAfterDatagrams = 3;
        double unresponsiveTimeoutMs = 2_500;
        int maxClientHelloBytes = 8 * KIBIBYTE;
        double clientHelloTimeoutMs = 1_000;
        int maxPendingClientHellos = 256;
        int maxPathsPerConnection = 4;
        double pathIdleTimeoutMs = 10_000;
        double upstreamSocketReuseDelayMs = 5_000;
        int maxReadsPerEvent = 64;
        int maxUnknownDatagrams = 256;
        double unknownDatagramSliceMs = 1;
        int maxUnconfirmedConnections = 512;
        int receiveBufferBytes = 4 * MEBIBYTE;
        double tokenClockToleranceMs = 2 * 3_600_000;
        return new Limits.Quic(
                datagramBytes,
                maxConnections,
                maxIdsPerConnection,
                retainedFirstDatagrams,
                idleTimeoutMs,
                finalResponseRepeatMs,
                unresponsiveAfterDatagrams,
                unresponsiveTimeoutMs,
                maxClientHelloBytes,
                clientHelloTimeoutMs,
                maxPendingClientHellos,
                maxPathsPerConnection,
                pathIdleTimeoutMs,
                upstreamSocketReuseDelayMs,
                maxReadsPerEvent,
                maxUnknownDatagrams,
                unknownDatagramSliceMs,
                maxUnconfirmedConnections,
                receiveBufferBytes,
                tokenClockToleranceMs);
    }

    private static Limits.HealthChecks healthChecks() {
        int connections = 64;
        double responseTimeoutMs = 500;
        double idleTimeoutMs = 5_000;
        return new Limits.HealthChecks(connections, responseTimeoutMs, idleTimeoutMs);
    }

    private static Limits.Peers peers() {
        int maxBodyBytes = 256;
        int maxPerSenderPerSecond = 200;
        return new Limits.Peers(maxBodyBytes, maxPerSenderPerSecond);
    }
}

package tulipshed.limits;

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
public record QuicLimits(
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
        double tokenClockToleranceMs) {
    private static final int KIBIBYTE = 1024;
    private static final int MEBIBYTE = 1024 * 1024;

    /** The default limits. */
    static QuicLimits defaults() {
        return new QuicLimits(
                /* datagramBytes= */ 2 * KIBIBYTE,
                /* maxConnections= */ 4096,
                /* maxIdsPerConnection= */ 8,
                /* retainedFirstDatagrams= */ 8,
                /* idleTimeoutMs= */ 30_000,
                /* finalResponseRepeatMs= */ 5_000,
                /* unresponsiveAfterDatagrams= */ 3,
                /* unresponsiveTimeoutMs= */ 2_500,
                /* maxClientHelloBytes= */ 8 * KIBIBYTE,
                /* clientHelloTimeoutMs= */ 1_000,
                /* maxPendingClientHellos= */ 256,
                /* maxPathsPerConnection= */ 4,
                /* pathIdleTimeoutMs= */ 10_000,
                /* upstreamSocketReuseDelayMs= */ 5_000,
                /* maxReadsPerEvent= */ 64,
                /* maxUnknownDatagrams= */ 256,
                /* unknownDatagramSliceMs= */ 1,
                /* maxUnconfirmedConnections= */ 512,
                /* receiveBufferBytes= */ 4 * MEBIBYTE,
                /* tokenClockToleranceMs= */ 2 * 3_600_000);
    }
}

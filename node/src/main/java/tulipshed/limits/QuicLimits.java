package tulipshed.limits;

/**
 * Limits of the QUIC frontend.
 *
 * @param datagramBytes the maximum length of an accepted datagram
 * @param maxConnections the maximum number of tracked connections
 * @param maxIdsPerConnection the maximum number of connection IDs recorded per connection; the oldest is evicted
 * @param retainedFirstDatagrams the maximum number of first datagrams of a client that are retained for a retry
 * @param idleTimeoutMs the time after which an idle connection is dropped
 * @param finalResponseRepeatMs how long a final response is repeated to a client that sends its first packet again
 * @param unresponsiveAfterDatagrams the number of datagrams without a reply after which an endpoint may count as unresponsive
 * @param unresponsiveTimeoutMs the time without a reply that is also required, as datagrams may be lost
 * @param maxClientHelloBytes the maximum length of a TLS ClientHello
 * @param clientHelloTimeoutMs the timeout for the rest of an incomplete ClientHello
 * @param maxPendingClientHellos the maximum number of connections with an incomplete ClientHello; each buffers its first
 *     datagrams and the received bytes of the ClientHello
 * @param maxPathsPerConnection the maximum number of open network paths per client
 * @param pathIdleTimeoutMs the time after which an idle path, unless it is the latest path of the client, releases its slot on
 *     the upstream socket: an upstream socket has one slot per endpoint, for the datagrams of one path
 * @param upstreamSocketReuseDelayMs the time until a released slot is assigned again, if another socket may be opened, as the
 *     endpoint may still send datagrams to the earlier path
 * @param maxReadsPerEvent the maximum number of datagrams read from a socket before other sockets are served
 * @param maxUnknownDatagrams the maximum number of datagrams with an unknown connection ID that are queued until those of
 *     known connections are forwarded
 * @param unknownDatagramSliceMs the time for which such datagrams are processed before sockets are read again
 * @param maxUnconfirmedConnections the maximum number of connections adopted by their ID alone and not yet confirmed by an
 *     endpoint; the oldest is evicted
 * @param receiveBufferBytes the requested size of the kernel's receive buffer per socket; the kernel may allow less
 * @param tokenClockToleranceMs the maximum difference between this node's wall clock and that of the node that issued a
 *     Retry token
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

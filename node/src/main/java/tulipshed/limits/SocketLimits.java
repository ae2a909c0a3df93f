package tulipshed.limits;

/**
 * Limits of sockets and buffers of all protocol frontends.
 *
 * @param relayBytes the size of the buffer for one direction of one relayed connection
 * @param readBytes the maximum number of bytes per read from a socket
 * @param descriptors the maximum number of open file descriptors of the process
 * @param reservedDescriptors the descriptors reserved for the virtual machine, the listeners and discovery
 * @param backlog the maximum number of connections queued in the kernel to be accepted
 * @param maxReadsPerEvent the maximum number of reads from a connection before other connections are served
 * @param maxAcceptsPerEvent the maximum number of connections accepted before descriptors of closed connections are
 *     released
 * @param lingerTimeoutMs the timeout for closing a connection after one side has ended it
 * @param sweepIntervalMs the interval at which connections are checked for expired timeouts
 * @param overloadRetryAfterMs the Retry-After for clients that are rejected for lack of descriptors
 * @param emergencyDescriptors the number of descriptors held in reserve; one is closed if a connection cannot be accepted
 *     otherwise
 * @param maxAcceptAttempts the maximum number of consecutive failed accepts before a reserve descriptor is closed
 * @param acceptRetryDelayMs how long a listener pauses if accepting still fails after that
 */
public record SocketLimits(
        int relayBytes,
        int readBytes,
        int descriptors,
        int reservedDescriptors,
        int backlog,
        int maxReadsPerEvent,
        int maxAcceptsPerEvent,
        double lingerTimeoutMs,
        double sweepIntervalMs,
        double overloadRetryAfterMs,
        int emergencyDescriptors,
        int maxAcceptAttempts,
        double acceptRetryDelayMs) {
    private static final int KIBIBYTE = 1024;

    /** The default limits of a node that may have this many open file descriptors. */
    static SocketLimits defaults(int descriptors) {
        return new SocketLimits(
                /* relayBytes= */ 16 * KIBIBYTE,
                /* readBytes= */ 16 * KIBIBYTE,
                /* descriptors= */ descriptors,
                /* reservedDescriptors= */ 64,
                /* backlog= */ 1024,
                /* maxReadsPerEvent= */ 4,
                /* maxAcceptsPerEvent= */ 8,
                /* lingerTimeoutMs= */ 900,
                /* sweepIntervalMs= */ 250,
                /* overloadRetryAfterMs= */ 500,
                /* emergencyDescriptors= */ 8,
                /* maxAcceptAttempts= */ 5,
                /* acceptRetryDelayMs= */ 5);
    }
}

package tulipshed.limits;

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
 * @param emergencyDescriptors the descriptors held open, one of which is given up when a connection cannot be accepted
 *     without
 * @param maxAcceptAttempts the attempts in a row to accept a connection before a descriptor is given up for it
 * @param acceptRetryDelayMs how long a listener pauses after all of them have failed
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

    /** The default limits of a node that may hold this many file descriptors. */
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

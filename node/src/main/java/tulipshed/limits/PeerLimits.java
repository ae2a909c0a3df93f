package tulipshed.limits;

/**
 * Limits of messages between nodes.
 *
 * @param maxBodyBytes the maximum length of a message, which the protocol defines
 * @param maxPerSenderPerSecond the maximum number of messages accepted from one sender per second; the excess is dropped
 */
public record PeerLimits(int maxBodyBytes, int maxPerSenderPerSecond) {
    /** The default limits. */
    static PeerLimits defaults() {
        return new PeerLimits(/* maxBodyBytes= */ 256, /* maxPerSenderPerSecond= */ 200);
    }
}

package tulipshed.limits;

/**
 * Messages between nodes.
 *
 * @param maxBodyBytes the length of the longest message, which the protocol sets
 * @param maxPerSenderPerSecond the messages accepted from one sender in a second; more are dropped
 */
public record PeerLimits(int maxBodyBytes, int maxPerSenderPerSecond) {
    /** The default limits. */
    static PeerLimits defaults() {
        return new PeerLimits(/* maxBodyBytes= */ 256, /* maxPerSenderPerSecond= */ 200);
    }
}

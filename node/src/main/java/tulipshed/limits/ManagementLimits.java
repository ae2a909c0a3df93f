package tulipshed.limits;

/**
 * Limits of the management server.
 *
 * @param connections the maximum number of connections served concurrently; as many again may be accepted until the
 *     oldest are closed
 * @param maxHeadBytes the maximum length of a request head
 * @param requestTimeoutMs the timeout for receiving a complete request, and for the client to read the response
 */
public record ManagementLimits(int connections, int maxHeadBytes, double requestTimeoutMs) {
    private static final int KIBIBYTE = 1024;

    /** The default limits. */
    static ManagementLimits defaults() {
        return new ManagementLimits(
                /* connections= */ 16, /* maxHeadBytes= */ 4 * KIBIBYTE, /* requestTimeoutMs= */ 2_000);
    }
}

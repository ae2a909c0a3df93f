package tulipshed.limits;

/**
 * The management server.
 *
 * @param connections the connections served at a time; as many again may be accepted until the oldest are closed
 * @param headBytes the length of the longest request head
 * @param requestTimeoutMs how long a request may take to be complete, and its response to be read
 */
public record ManagementLimits(int connections, int headBytes, double requestTimeoutMs) {
    private static final int KIBIBYTE = 1024;

    /** The default limits. */
    static ManagementLimits defaults() {
        return new ManagementLimits(
                /* connections= */ 16, /* headBytes= */ 4 * KIBIBYTE, /* requestTimeoutMs= */ 2_000);
    }
}

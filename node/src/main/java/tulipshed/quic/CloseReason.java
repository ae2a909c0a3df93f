package tulipshed.quic;

/** The reason phrases of CONNECTION_CLOSE frames (RFC 9000 section 19.19) that the node sends; clients may show them. */
final class CloseReason {
    /** The configured request class or tenant does not exist. */
    static final String UNKNOWN_CLASS = "an unknown class";

    /** The CRYPTO frames of the client hold no TLS ClientHello. */
    static final String MALFORMED_CLIENT_HELLO = "not a client hello";

    /** The ClientHello did not become complete within its limits. */
    static final String INCOMPLETE_CLIENT_HELLO = "no whole hello";

    /** The client is to open its connection again, at another node. */
    static final String MIGRATE = "moved; come again";

    /** The request has failed. */
    static final String FAILED = "failed";

    private CloseReason() {}

    /** The request is rejected; a positive number of milliseconds is the Retry-After. */
    static String overload(double retryAfterMs) {
        long ms = (long) Math.ceil(retryAfterMs);
        return ms > 0 ? "busy; come again after " + ms + " ms" : "busy";
    }
}

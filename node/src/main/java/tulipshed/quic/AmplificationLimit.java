package tulipshed.quic;

/**
 * The anti-amplification limit of a connection (RFC 9000 section 8.1): an address that is not validated is sent no more than
 * three times the bytes received from it, by all answers and endpoints together.
 */
final class AmplificationLimit {
    private static final int FACTOR = 3;

    private long allowedBytes;
    private boolean isValidated;

    /** Counts a received datagram. */
    void received(int bytes) {
        allowedBytes += FACTOR * (long) bytes;
    }

    /** The address is validated if {@code validated} is true; it stays so. */
    void validate(boolean validated) {
        isValidated |= validated;
    }

    /** Whether the client's address is validated. */
    boolean isValidated() {
        return isValidated;
    }

    /** Takes this many bytes of the allowance; false where they may not be sent. */
    boolean tryAcquire(int bytes) {
        if (isValidated) {
            return true;
        }
        boolean isAllowed = allowedBytes >= bytes;
        allowedBytes -= isAllowed ? bytes : 0;
        return isAllowed;
    }
}

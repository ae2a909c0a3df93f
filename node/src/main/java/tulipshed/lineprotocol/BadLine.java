package tulipshed.lineprotocol;

/** Input that is not of the platform's protocol. */
final class BadLine extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadLine(String message) {
        super(message);
    }
}

package tulipshed.lineprotocol;

/** Input that is not of the platform's protocol. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(String message) {
        super(message);
    }
}

package tulipshed.lineprotocol;

/** Input that violates the line protocol. The message is logged and must not quote the input. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(String message) {
        super(message);
    }
}

package tulipshed.lineprotocol;

/** Input that does not follow the line protocol. Its message is fit for the log: it never quotes the sender. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(String message) {
        super(message);
    }
}

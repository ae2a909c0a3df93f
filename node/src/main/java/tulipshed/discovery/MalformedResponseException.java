package tulipshed.discovery;

/** Thrown for input that is not an HTTP/1.1 response or exceeds the size limits. */
final class MalformedResponseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code message} describes the error. */
    MalformedResponseException(String message) {
        super(message);
    }
}

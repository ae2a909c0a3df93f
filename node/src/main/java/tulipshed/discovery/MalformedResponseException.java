package tulipshed.discovery;

/** Input that is not an HTTP/1.1 response, or one that exceeds the limits on its size. */
final class MalformedResponseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code message} says what is wrong with the input. */
    MalformedResponseException(String message) {
        super(message);
    }
}

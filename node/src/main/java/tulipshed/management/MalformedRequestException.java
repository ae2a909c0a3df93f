package tulipshed.management;

/** Bytes that are no request of HTTP/1.1, or a head that is too long. The message is the body of the response. */
final class MalformedRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
        super(message);
    }
}

package tulipshed.management;

/** Bytes that are not a call of HTTP/1.1 within the bounds. */
final class MalformedRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
        super(message);
    }
}

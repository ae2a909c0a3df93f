package tulipshed.management;

/** Input that is not a valid HTTP/1.1 request or has too long a head. The message becomes the body of the response. */
final class MalformedRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
        super(message);
    }
}

package tulipshed.config;

/** A line that is not of the wire; the adapter says so and ends. */
public class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MalformedInputException(String message) {
        super(message);
    }
}

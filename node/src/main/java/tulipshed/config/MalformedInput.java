package tulipshed.config;

/** A line that is not of the wire; the adapter says so and ends. */
public class MalformedInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MalformedInput(String message) {
        super(message);
    }
}

package tulipshed.simulator;

/** A line that is not of the wire; the adapter says so and ends. */
final class MalformedInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInput(String message) {
        super(message);
    }
}

package tulipshed.config;

/**
 * Thrown for invalid input from outside the program: a configuration file, an operators' file, a command-line value, or
 * a line from the simulator. Also thrown for an address that cannot be bound.
 *
 * <p>The code that reads the input catches this exception and reports the message, which it may prefix and put on one
 * line; no code depends on the message text.
 */
public class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that names the problem and its location. */
    public MalformedInputException(String message) {
        super(message);
    }

    /**
     * Returns the exception for a value that is present but invalid.
     *
     * @param subject the external name of the value and, if nested, its location
     * @param expected a noun phrase, such as {@code a number above 0}
     */
    static MalformedInputException unexpectedValue(String subject, String expected) {
        return new MalformedInputException(subject + " is not " + expected);
    }

    /**
     * Returns the exception for a required value that is absent.
     *
     * @param key the external name of the value
     * @param container the object in which it is required
     */
    static MalformedInputException missing(String key, String container) {
        return new MalformedInputException(key + " is missing from " + container);
    }
}

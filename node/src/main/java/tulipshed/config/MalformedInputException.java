package tulipshed.config;

/**
 * Input from outside the program that cannot be used: a configuration file, an operators' file, a command-line value, or
 * a line of the simulator.
 *
 * <p>The message is one line and is shown to the user as it is. The boundary that reads the input catches this exception
 * and reports the message; no code decides by the message's text.
 */
public class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line that says what is wrong and where. */
    public MalformedInputException(String message) {
        super(message);
    }

    /**
     * A value that is present, but not of the kind that was expected.
     *
     * @param what the value, by its external name and, if nested, its place
     * @param expected a noun phrase, such as {@code a number above 0}
     */
    static MalformedInputException unexpectedValue(String what, String expected) {
        return new MalformedInputException(what + " is not " + expected);
    }

    /**
     * A required value that is absent.
     *
     * @param key the external name of the value
     * @param where the object that lacks it
     */
    static MalformedInputException missing(String key, String where) {
        return new MalformedInputException(key + " is missing from " + where);
    }
}

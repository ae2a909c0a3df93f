package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import tulipshed.config.MalformedInputException;
import tulipshed.time.Clock;

/**
 * Reads a parser's current token as a value of a certain type. Each method takes the external name of the value for its
 * error message, and throws {@link MalformedInputException} if the token has a different type.
 */
final class JsonTokens {

    private JsonTokens() {}

    /** Requires the current token to be of this type. */
    static void expect(JsonParser parser, JsonToken token, String name) {
        if (parser.currentToken() != token) {
            throw new MalformedInputException(name + " is " + parser.currentToken() + ", expected " + token);
        }
    }

    /** Reads a string. */
    static String string(JsonParser parser, String name) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw new MalformedInputException(name + " is not a string");
        }
        return parser.getText();
    }

    /** Reads a 64-bit integer. */
    static long integer(JsonParser parser, String name) throws IOException {
        requireInteger(parser, name);
        return parser.getLongValue();
    }

    /** Reads the low 64 bits of an integer, for unsigned values. */
    static long unsignedInteger(JsonParser parser, String name) throws IOException {
        requireInteger(parser, name);
        return parser.getBigIntegerValue().longValue();
    }

    private static void requireInteger(JsonParser parser, String name) {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new MalformedInputException(name + " is not an integer");
        }
    }

    /** Reads a number. */
    static double number(JsonParser parser, String name) throws IOException {
        if (parser.currentToken() == null || !parser.currentToken().isNumeric()) {
            throw new MalformedInputException(name + " is not a number");
        }
        return parser.getDoubleValue();
    }

    /** Reads a time in seconds and returns it in microseconds. */
    static long micros(JsonParser parser, String name) throws IOException {
        return Clock.secondsToMicros(number(parser, name));
    }
}

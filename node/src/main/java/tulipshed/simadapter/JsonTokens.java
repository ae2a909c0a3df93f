package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import tulipshed.config.MalformedInputException;
import tulipshed.time.Clock;

/**
 * Typed reads of a parser's current token. Each takes the external name of the value for its error message, and raises
 * {@link MalformedInputException} if the token has another type.
 */
final class JsonTokens {

    private JsonTokens() {}

    /** Requires a token. */
    static void expect(JsonParser parser, JsonToken token, String name) {
        if (parser.currentToken() != token) {
            throw new MalformedInputException(name + " is " + parser.currentToken() + ", not " + token);
        }
    }

    /** A string. */
    static String string(JsonParser parser, String name) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw new MalformedInputException(name + " is not a string");
        }
        return parser.getText();
    }

    /** An integer of 64 bits. */
    static long integer(JsonParser parser, String name) throws IOException {
        requireInteger(parser, name);
        return parser.getLongValue();
    }

    /** The low 64 bits of an integer, for values that are unsigned. */
    static long unsignedInteger(JsonParser parser, String name) throws IOException {
        requireInteger(parser, name);
        return parser.getBigIntegerValue().longValue();
    }

    private static void requireInteger(JsonParser parser, String name) {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new MalformedInputException(name + " is not an integer");
        }
    }

    /** A number. */
    static double number(JsonParser parser, String name) throws IOException {
        if (parser.currentToken() == null || !parser.currentToken().isNumeric()) {
            throw new MalformedInputException(name + " is not a number");
        }
        return parser.getDoubleValue();
    }

    /** A time, which the input gives in seconds, in microseconds. */
    static long micros(JsonParser parser, String name) throws IOException {
        return Clock.secondsToMicros(number(parser, name));
    }
}

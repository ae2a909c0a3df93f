package tulipshed.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON into plain values: objects as {@code Map<String, Object>} in the order of their keys in the text, arrays as
 * {@code List<Object>}, numbers as {@code Double}, besides {@code String}, {@code Boolean} and null.
 */
public final class JsonValues {
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonValues() {}

    /**
     * Reads a text that holds exactly one object.
     *
     * @throws MalformedInputException if it is not JSON, holds another value, or holds anything after the object
     */
    public static Map<String, Object> object(byte[] utf8) {
        try (JsonParser parser = FACTORY.createParser(utf8)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedInputException("not a JSON object");
            }
            Map<String, Object> object = object(parser);
            if (parser.nextToken() != null) {
                throw new MalformedInputException("something follows the JSON object");
            }
            return object;
        } catch (JsonProcessingException e) {
            throw new MalformedInputException(e.getOriginalMessage());
        } catch (IOException e) {
            throw new MalformedInputException(e.getMessage());
        }
    }

    /**
     * Reads the rest of an object whose start is the parser's current token.
     *
     * @throws IOException if the input cannot be read or is not JSON
     */
    public static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        for (String key = parser.nextFieldName(); key != null; key = parser.nextFieldName()) {
            parser.nextToken();
            object.put(key, value(parser));
        }
        return object;
    }

    private static Object value(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return object(parser);
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser));
                }
                return list;
            case VALUE_TRUE:
            case VALUE_FALSE:
                return parser.getBooleanValue();
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_STRING:
                return parser.getText();
            default:
                return null;
        }
    }
}

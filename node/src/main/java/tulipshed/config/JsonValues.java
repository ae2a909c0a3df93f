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
 * Reads JSON into plain Java values: objects become {@code Map<String, Object>} in the order of the text, arrays become
 * {@code List<Object>}, numbers become {@code Double}; the other values are {@code String}, {@code Boolean} and null.
 */
public final class JsonValues {
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonValues() {}

    /**
     * Reads a document that holds exactly one object.
     *
     * @throws MalformedInputException if the input is not JSON, is not an object, or continues after the object
     */
    public static Map<String, Object> object(byte[] utf8) {
        try (JsonParser parser = FACTORY.createParser(utf8)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedInputException("not a JSON object");
            }
            Map<String, Object> object = object(parser);
            if (parser.nextToken() != null) {
                throw new MalformedInputException("unexpected input after the JSON object");
            }
            return object;
        } catch (JsonProcessingException e) {
            throw new MalformedInputException(e.getOriginalMessage());
        } catch (IOException e) {
            throw new MalformedInputException(e.getMessage());
        }
    }

    /**
     * Reads the remainder of an object; the parser's current token is the start of the object.
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

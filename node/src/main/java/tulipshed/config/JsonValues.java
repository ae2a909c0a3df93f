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

/** Reads JSON into plain maps, lists, texts, doubles and booleans. */
public final class JsonValues {
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonValues() {}

    /** The one object that the bytes hold. */
    public static Map<String, Object> object(byte[] utf8) {
        try (JsonParser in = FACTORY.createParser(utf8)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedInputException("not a JSON object");
            }
            Map<String, Object> map = object(in);
            if (in.nextToken() != null) {
                throw new MalformedInputException("something follows the JSON object");
            }
            return map;
        } catch (JsonProcessingException e) {
            throw new MalformedInputException(e.getOriginalMessage());
        } catch (IOException e) {
            throw new MalformedInputException(e.getMessage());
        }
    }

    /** The object whose start the parser has just read. */
    public static Map<String, Object> object(JsonParser in) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        for (String key = in.nextFieldName(); key != null; key = in.nextFieldName()) {
            in.nextToken();
            map.put(key, value(in));
        }
        return map;
    }

    private static Object value(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT:
                return object(in);
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(in));
                }
                return list;
            case VALUE_TRUE:
            case VALUE_FALSE:
                return in.getBooleanValue();
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return in.getDoubleValue();
            case VALUE_STRING:
                return in.getText();
            default:
                return null;
        }
    }
}

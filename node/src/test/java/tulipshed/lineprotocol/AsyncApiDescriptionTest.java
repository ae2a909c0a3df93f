package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.yaml.snakeyaml.Yaml;
import tulipshed.config.NodeConfig;
import tulipshed.routing.AttributeDeclarations;

/** The AsyncAPI description matches the parsers: its examples parse and its references resolve. */
class AsyncApiDescriptionTest {
    private final Map<String, Object> description;

    AsyncApiDescriptionTest() throws IOException {
        description = new Yaml().load(Files.readString(Path.of("../docs/asyncapi.yaml")));
    }

    @SuppressWarnings("unchecked")
    private static Object valueAt(Object from, String... path) {
        Object value = from;
        for (String key : path) {
            value = ((Map<String, Object>) value).get(key);
            assertNotNull(value, "nothing at " + key);
        }
        return value;
    }

    @Test
    void parsesExampleOpenCommandsThatMatchTheirPattern() {
        Object payload = valueAt(description, "components", "messages", "open", "payload");
        List<?> examples = (List<?>) valueAt(payload, "examples");
        assertFalse(examples.isEmpty());
        for (Object example : examples) {
            String line = (String) example;
            assertTrue(line.matches((String) valueAt(payload, "pattern")), line);
            NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"));
            OpenCommand command = new OpenCommandParser(config.nameIndex(), AttributeDeclarations.NONE, 60_000)
                    .parse(line.getBytes(StandardCharsets.US_ASCII));
            assertEquals(
                    line,
                    new String(command.forwardedLine(command.parameters().timeoutMs()), StandardCharsets.US_ASCII));
        }
    }

    @Test
    void resolvesEveryReference() throws IOException {
        for (String file :
                List.of("../docs/asyncapi.yaml", "../docs/openapi-discovery.yaml", "../docs/openapi-management.yaml")) {
            Object document = new Yaml().load(Files.readString(Path.of(file)));
            assertTrue(countReferences(document, document) > 0, file);
        }
    }

    private static int countReferences(Object document, Object node) {
        if (node instanceof List<?> list) {
            return list.stream()
                    .mapToInt(child -> countReferences(document, child))
                    .sum();
        }
        if (node instanceof Map<?, ?> map) {
            if (map.get("$ref") instanceof String reference) {
                valueAt(document, reference.substring(2).split("/"));
                return 1;
            }
            return map.values().stream()
                    .mapToInt(child -> countReferences(document, child))
                    .sum();
        }
        return 0;
    }
}

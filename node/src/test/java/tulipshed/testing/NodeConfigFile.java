package tulipshed.testing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A node configuration for a test, derived from {@code src/test/resources/node.json} with the ports and settings of the
 * test. Confined to one thread.
 */
public final class NodeConfigFile {
    private static final Path TEMPLATE = Path.of("src/test/resources/node.json");
    private static final String LISTEN_PORT = ":18080";
    private static final String ENDPOINT_PORT = ":18081";
    private static final String DISCOVERY_PORT = ":18500";

    private String json;

    private NodeConfigFile(String json) {
        this.json = json;
    }

    /** Returns the unchanged configuration of the template. */
    public static NodeConfigFile fromTemplate() throws IOException {
        return new NodeConfigFile(Files.readString(TEMPLATE));
    }

    /** Sets the port that clients connect to; 0 for any free one. */
    public NodeConfigFile listenPort(int port) {
        return replace(LISTEN_PORT, ":" + port);
    }

    /** Sets the port of the one cached endpoint, {@code s-1}. */
    public NodeConfigFile endpointPort(int port) {
        return replace(ENDPOINT_PORT, ":" + port);
    }

    /** Sets the port of discovery. */
    public NodeConfigFile discoveryPort(int port) {
        return replace(DISCOVERY_PORT, ":" + port);
    }

    /** Replaces every occurrence of a text that the file must contain. */
    public NodeConfigFile replace(String text, String replacement) {
        assertTrue(json.contains(text), text);
        json = json.replace(text, replacement);
        return this;
    }

    /** Replaces every match of a regular expression; the file may contain none. */
    public NodeConfigFile replaceAll(String regex, String replacement) {
        json = json.replaceAll(regex, replacement);
        return this;
    }

    /** Writes {@code node.json} into a directory, over an earlier one, and returns its path. */
    public Path writeTo(Path directory) throws IOException {
        return Files.writeString(directory.resolve("node.json"), json);
    }
}

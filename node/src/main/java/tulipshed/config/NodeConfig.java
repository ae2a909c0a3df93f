package tulipshed.config;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tulipshed.decision.api.BalancerSettings;

/**
 * The configuration of one node, from the JSON file that the environment variable PROXY_CONFIG names and from further
 * environment variables. Immutable, except that {@code cachedEndpoints} is the map that was read and is not copied.
 *
 * @param name the node's name; external name {@code name}
 * @param listen the address for clients; external name {@code listen}
 * @param management the address of the management server, null if it is disabled; external name {@code management}, or
 *     the environment variable PROXY_MANAGEMENT
 * @param discovery the address of the discovery service; external name {@code discovery}
 * @param seed the seed of the random number generator; external name {@code seed}, hexadecimal
 * @param memoryMb the memory that the node may use, in mebibytes; external name {@code limits.memory_mb}
 * @param sockets the number of file descriptors that the node may use; external name {@code limits.sockets}
 * @param cachedEndpoints the cached endpoint list to start with, in discovery's format, empty for none; external name
 *     {@code known}
 * @param settings the settings of the decision module; external name {@code settings}
 * @param nameIndex the names of request classes and tenants in {@code settings}
 * @param loadReportsLatency whether endpoints report latencies instead of loads; external names {@code
 *     settings.FamilyInfo.TellsDelay} and {@code TellsLoad}
 * @param peers the addresses for peer messages, null if they are disabled
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress management,
        InetSocketAddress discovery,
        long seed,
        int memoryMb,
        int sockets,
        Map<String, Object> cachedEndpoints,
        BalancerSettings settings,
        NameIndex nameIndex,
        boolean loadReportsLatency,
        PeerConfig peers) {

    /** The environment variable that names the configuration file. */
    private static final String FILE_VARIABLE = "PROXY_CONFIG";

    /** The environment variable with the management address, used if the file does not set one. */
    private static final String MANAGEMENT_VARIABLE = "PROXY_MANAGEMENT";

    /** Matches a numeric host; the node does not resolve host names. */
    private static final String NUMERIC_HOST = "[0-9.]+|\\[[0-9a-fA-F:]+\\]";

    private static final int HEXADECIMAL = 16;

    /**
     * Reads and checks the configuration.
     *
     * @throws MalformedInputException with a one-line message if there is no file or it is invalid
     */
    public static NodeConfig load(Map<String, String> environment) {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new MalformedInputException(FILE_VARIABLE + " is not set");
        }
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new MalformedInputException(
                    "cannot read " + file + ": " + e.getClass().getSimpleName());
        }
        return parse(JsonValues.object(bytes), environment);
    }

    /** Validates and translates the parsed configuration file. Its fields have external names. */
    static NodeConfig parse(Map<String, Object> json, Map<String, String> environment) {
        ConfigValidator.check(json);
        JsonObject file = JsonObject.of(json);
        InetSocketAddress listen = address("listen", file.string("listen", null));
        InetSocketAddress discovery = address("discovery", file.string("discovery", null));
        String management = management(json, environment);
        JsonObject limits = file.object("limits");
        JsonObject family = file.object("settings").object("FamilyInfo");
        BalancerSettings settings = SettingsReader.read(file.object("settings").fields());
        return new NodeConfig(
                file.string("name", null),
                listen,
                management == null || management.isEmpty() ? null : address("management", management),
                discovery,
                seed(file.string("seed", null)),
                limits.integer("memory_mb", 0),
                limits.integer("sockets", 0),
                file.object("known").fields(),
                settings,
                NameIndex.of(settings),
                family.flag("TellsDelay", false) && !family.flag("TellsLoad", false),
                PeerConfig.read(json, settings.limits().peerMessages(), settings.nodeIndex()));
    }

    /** Returns the management address as text, or null; the file takes precedence over the environment. */
    private static String management(Map<String, Object> json, Map<String, String> environment) {
        Object value = json.get("management");
        if (value != null && !(value instanceof String)) {
            throw MalformedInputException.unexpectedValue("management", "a string");
        }
        return value == null ? environment.get(MANAGEMENT_VARIABLE) : (String) value;
    }

    private static long seed(String hexadecimal) {
        try {
            return Long.parseUnsignedLong(hexadecimal, HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw MalformedInputException.unexpectedValue("seed", "a hexadecimal number: " + hexadecimal);
        }
    }

    /**
     * Parses an address of the form {@code host:port} with a numeric host; the node does not resolve host names.
     *
     * @param fieldName the name of the field in the error message
     * @param text the address; null is treated as malformed
     * @throws MalformedInputException if the text has another form
     */
    public static InetSocketAddress address(String fieldName, String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches(NUMERIC_HOST)) {
            throw notAnAddress(fieldName, text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw notAnAddress(fieldName, text);
        }
    }

    private static MalformedInputException notAnAddress(String fieldName, String text) {
        return MalformedInputException.unexpectedValue(fieldName, "a numeric host:port: " + text);
    }

    /** Returns the entries of {@link #cachedEndpoints()} in discovery's format; empty if there are none. */
    public List<?> cachedEndpointEntries() {
        return cachedEndpoints.get("servers") instanceof List<?> servers ? servers : List.of();
    }

    /** Returns a copy without management address, cached endpoints and peers, for a node that runs on its own. */
    public NodeConfig standalone() {
        return new NodeConfig(
                name,
                listen,
                null,
                discovery,
                seed,
                memoryMb,
                sockets,
                Map.of(),
                settings,
                nameIndex,
                loadReportsLatency,
                null);
    }
}

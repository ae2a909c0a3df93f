package tulipshed.config;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tulipshed.decision.BalancerApi.Settings;

/**
 * What a node is told at its start, from the file that PROXY_CONFIG names and the variables beside it; the second
 * address, {@code management}, is null where it is off, and so is {@code peers}.
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
        Settings settings,
        SettingsReader.NameIndex nameIndex,
        boolean loadReportsLatency,
        PeerConfig peers) {

    /** Reads the configuration; a {@link MalformedInputException} tells in one line what is wrong with it. */
    public static NodeConfig load(Map<String, String> environment) {
        String file = environment.get("PROXY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new MalformedInputException("PROXY_CONFIG is not set");
        }
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(Path.of(file));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new MalformedInputException(
                    "cannot read " + file + ": " + e.getClass().getSimpleName());
        }
        return parse(JsonValues.object(bytes), environment);
    }

    static NodeConfig parse(Map<String, Object> json, Map<String, String> environment) {
        ConfigValidator.check(json);
        String name = text(json, "name", null);
        InetSocketAddress listen = address("listen", text(json, "listen", null));
        InetSocketAddress discovery = address("discovery", text(json, "discovery", null));
        String management = text(json, "management", environment.get("PROXY_MANAGEMENT"));
        Map<String, Object> limits = child(json, "limits");
        SettingsReader.NameIndex names = new SettingsReader.NameIndex();
        Map<String, Object> settings = child(json, "settings");
        Map<String, Object> family = child(settings, "FamilyInfo");
        Settings read = SettingsReader.read(settings, names);
        return new NodeConfig(
                name,
                listen,
                management == null || management.isEmpty() ? null : address("management", management),
                discovery,
                seed(text(json, "seed", "0")),
                (int) number(limits, "memory_mb", 192),
                (int) number(limits, "sockets", 1024),
                child(json, "known"),
                read,
                names,
                Boolean.TRUE.equals(family.get("TellsDelay")) && !Boolean.TRUE.equals(family.get("TellsLoad")),
                PeerConfig.read(json, read.limits().peerMessages(), read.nodeIndex()));
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new MalformedInputException("seed is not a hexadecimal number: " + hex);
        }
    }

    /** An address of the form host:port; the host is a numeric address, as there is no DNS. */
    public static InetSocketAddress address(String what, String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:]+\\]")) {
            throw new MalformedInputException(what + " is not a numeric host:port: " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new MalformedInputException(what + " is not a numeric host:port: " + text);
        }
    }

    private static String text(Map<String, Object> json, String key, String otherwise) {
        Object value = json.get(key);
        if (value != null && !(value instanceof String)) {
            throw new MalformedInputException(key + " is not a text");
        }
        return value == null ? otherwise : (String) value;
    }

    private static double number(Map<String, Object> json, String key, double otherwise) {
        Object value = json.get(key);
        if (value != null && !(value instanceof Double)) {
            throw new MalformedInputException(key + " is not a number");
        }
        return value == null ? otherwise : (Double) value;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> child(Map<String, Object> json, String key) {
        Object value = json.get(key);
        if (value != null && !(value instanceof Map)) {
            throw new MalformedInputException(key + " is not an object");
        }
        return value == null ? Map.of() : (Map<String, Object>) value;
    }

    /** Listed servers in discovery's form, or an empty list. */
    public List<?> knownServers() {
        return cachedEndpoints.get("servers") instanceof List<?> l ? l : List.of();
    }
}

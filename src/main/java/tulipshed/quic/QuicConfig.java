package tulipshed.quic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInput;
import tulipshed.config.NodeConfig;
import tulipshed.config.SettingsReader.Names;

/**
 * What the file of the second front says: where it listens (null where it is off), what a connection is taken
 * to ask for, how ids carry their server, which member has which server id, and the key shared for resets.
 */
public record QuicConfig(InetSocketAddress listen, String requestClass, String tenant, double deadlineMs, ServerIds ids,
        Map<String, String> membersByServer, StatelessReset reset) {
    private static final String OFF = "off";
    private static final int RESET_KEY_BYTES = 16;

    /** Reads the file; a {@link MalformedInput} tells in one line what is wrong with it. */
    public static QuicConfig load(Path file, Names names) {
        try {
            return parse(JsonValues.object(Files.readAllBytes(file)), names);
        } catch (IOException e) {
            throw new MalformedInput("cannot read " + file + ": " + e.getClass().getSimpleName());
        } catch (MalformedInput e) {
            throw new MalformedInput(file + ": " + e.getMessage());
        }
    }

    static QuicConfig parse(Map<String, Object> json, Names names) {
        String listen = text(json, "listen");
        if (listen.equals(OFF)) {
            return new QuicConfig(null, null, null, 0, null, Map.of(), null);
        }
        String requestClass = text(json, "class");
        String tenant = text(json, "tenant");
        if (!names.classes.containsKey(requestClass) || !names.tenants.containsKey(tenant)) {
            throw new MalformedInput("class or tenant is not one of the settings");
        }
        int serverBytes = (int) number(json, "server_id_bytes");
        byte[] key = json.get("key") == null ? null : hex(json, "key");
        ServerIds ids;
        try {
            ids = new ServerIds((int) number(json, "configuration"), serverBytes,
                    (int) number(json, "nonce_bytes"), key);
        } catch (IllegalArgumentException e) {
            throw new MalformedInput(e.getMessage());
        }
        byte[] resetKey = hex(json, "reset_key");
        if (resetKey.length < RESET_KEY_BYTES) {
            throw new MalformedInput("reset_key has fewer than " + RESET_KEY_BYTES + " bytes");
        }
        double deadlineMs = number(json, "deadline_ms");
        if (deadlineMs <= 0) {
            throw new MalformedInput("deadline_ms is not above 0");
        }
        return new QuicConfig(NodeConfig.address("listen", listen), requestClass, tenant, deadlineMs, ids,
                servers(json, serverBytes), new StatelessReset(resetKey));
    }

    private static Map<String, String> servers(Map<String, Object> json, int serverBytes) {
        if (!(json.get("servers") instanceof Map<?, ?> servers)) {
            throw new MalformedInput("servers is not an object");
        }
        Map<String, String> members = new HashMap<>();
        servers.forEach((member, server) -> {
            byte[] id = hex(String.valueOf(server), "servers");
            if (id.length != serverBytes || members.put(HexFormat.of().formatHex(id), (String) member) != null) {
                throw new MalformedInput("the server id of " + member + " has another length or stands twice");
            }
        });
        return members;
    }

    /** The member to which an id belongs by the server id in it, or null. */
    String member(ConnectionId id) {
        byte[] server = ids.server(id);
        return server == null ? null : membersByServer.get(HexFormat.of().formatHex(server));
    }

    private static String text(Map<String, Object> json, String key) {
        if (!(json.get(key) instanceof String s)) {
            throw new MalformedInput(key + " is not a text");
        }
        return s;
    }

    private static double number(Map<String, Object> json, String key) {
        if (!(json.get(key) instanceof Double d)) {
            throw new MalformedInput(key + " is not a number");
        }
        return d;
    }

    private static byte[] hex(Map<String, Object> json, String key) {
        return hex(text(json, key), key);
    }

    private static byte[] hex(String text, String key) {
        try {
            return HexFormat.of().parseHex(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedInput(key + " is not hexadecimal");
        }
    }
}

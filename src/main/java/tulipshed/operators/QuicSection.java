package tulipshed.operators;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.config.SettingsReader.Names;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.Problems;

/**
 * What the operators' file says of the second front: where it listens, what a connection asks for unless rules say
 * otherwise, how ids carry their server, which member has which server id, and the keys shared with the servers.
 *
 * @param deadlineMs how long a client waits, in milliseconds
 * @param key of QUIC-LB, or null where server ids stand in the open
 * @param servers the ids of members by their server ids in hexadecimal
 */
public record QuicSection(InetSocketAddress listen, String requestClass, String tenant, double deadlineMs, int configuration,
        int serverIdBytes, int nonceBytes, byte[] key, byte[] resetKey, Map<String, String> servers) {
    private static final Set<String> FIELDS = new LinkedHashSet<>(List.of("listen", "class", "tenant", "deadline-ms",
            "configuration", "server-id-bytes", "nonce-bytes", "key", "reset-key", "servers"));
    private static final int KEY_BYTES = 16;
    private static final int LONGEST_DEADLINE_MS = 120_000;

    /** Reads {@code (quic ...)}; null where something is wrong, which is noted. */
    static QuicSection read(Form.Sequence section, Names names, Problems problems) {
        int before = problems.count();
        Fields f = new Fields(section, 1, FIELDS, problems);
        InetSocketAddress listen = f.address("listen");
        String requestClass = f.oneOf("class", names.classes.keySet());
        String tenant = names.tenants.isEmpty() && !f.has("tenant") ? null : f.oneOf("tenant", names.tenants.keySet());
        double deadlineMs = f.whole("deadline-ms", 1, LONGEST_DEADLINE_MS, 1);
        int configuration = (int) f.whole("configuration", 0, 6, 0);
        // QUIC-LB section 5: a server id of 1 to 15 bytes, a nonce of 4 to 18, 19 together at most.
        int serverBytes = (int) f.whole("server-id-bytes", 1, 15, 1);
        int nonceBytes = (int) f.whole("nonce-bytes", 4, 18, 4);
        if (serverBytes + nonceBytes > 19) {
            problems.add(f.place("nonce-bytes"), "expected server-id-bytes and nonce-bytes of 19 together at most, found "
                    + (serverBytes + nonceBytes));
        }
        byte[] key = f.has("key") ? f.hex("key") : null;
        if (key != null && key.length != KEY_BYTES) {
            problems.add(f.place("key"), "expected a key of " + KEY_BYTES + " bytes, found " + key.length);
        }
        byte[] resetKey = f.hex("reset-key");
        if (resetKey != null && resetKey.length < KEY_BYTES) {
            problems.add(f.place("reset-key"), "expected a reset-key of " + KEY_BYTES + " bytes at least, found " + resetKey.length);
        }
        Map<String, String> servers = new HashMap<>();
        for (Form item : f.items("servers")) {
            if (!(item instanceof Form.Sequence s) || s.square() || s.items().size() != 2
                    || !(s.items().get(0) instanceof Form.Text member) || !(s.items().get(1) instanceof Form.Text id)) {
                problems.add(item.place(), "expected (\"MEMBER\" \"SERVER ID\"), found " + item.describe());
                continue;
            }
            byte[] bytes = Fields.hex(id.value(), id.place(), problems);
            if (bytes != null && bytes.length != serverBytes) {
                problems.add(id.place(), "expected a server id of " + serverBytes + " bytes, found " + bytes.length);
            } else if (bytes != null && servers.put(HexFormat.of().formatHex(bytes), member.value()) != null) {
                problems.add(id.place(), "this server id stands twice");
            }
        }
        return problems.count() > before ? null : new QuicSection(listen, requestClass, tenant, deadlineMs, configuration,
                serverBytes, nonceBytes, key, resetKey, servers);
    }
}

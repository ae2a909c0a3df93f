package tulipshed.operators;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import tulipshed.connectionid.ServerIds;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** Reads {@code (ids ...)}, a configuration of connection IDs. */
final class ConnectionIdSectionReader {
    private static final Set<String> FIELDS = SectionNames.ordered(
            FieldNames.CONFIGURATION,
            FieldNames.SERVER_ID_BYTES,
            FieldNames.NONCE_BYTES,
            FieldNames.CONNECTION_BYTES,
            FieldNames.KEY,
            FieldNames.SERVERS);

    // The limits of the QUIC-LB draft, section 5.
    private static final int MAX_CONFIGURATION = 6;
    private static final int MAX_SERVER_ID_BYTES = 15;
    private static final int MIN_NONCE_BYTES = 4;
    private static final int MAX_NONCE_BYTES = 18;
    private static final int MAX_SERVER_ID_AND_NONCE_BYTES = 19;

    private static final int MIN_CONNECTION_BYTES = 2;

    private ConnectionIdSectionReader() {}

    /** Returns the configuration; the caller must not use it if errors were reported. */
    static ConnectionIdSection read(Form.Sequence section, Diagnostics diagnostics) {
        SectionFields fields = new SectionFields(section, 1, FIELDS, diagnostics);
        int configuration = (int) fields.integer(FieldNames.CONFIGURATION, 0, MAX_CONFIGURATION, 0);
        int serverIdBytes = (int) fields.integer(FieldNames.SERVER_ID_BYTES, 1, MAX_SERVER_ID_BYTES, 1);
        int nonceBytes =
                (int) fields.integer(FieldNames.NONCE_BYTES, MIN_NONCE_BYTES, MAX_NONCE_BYTES, MIN_NONCE_BYTES);
        if (serverIdBytes + nonceBytes > MAX_SERVER_ID_AND_NONCE_BYTES) {
            diagnostics.add(
                    fields.place(FieldNames.NONCE_BYTES),
                    "expected server-id-bytes and nonce-bytes of at most " + MAX_SERVER_ID_AND_NONCE_BYTES
                            + " in total, found " + (serverIdBytes + nonceBytes));
        }
        int connectionBytes = readConnectionBytes(fields, nonceBytes, diagnostics);
        byte[] key = null;
        if (fields.has(FieldNames.KEY)) {
            byte[] bytes = fields.bytes(FieldNames.KEY);
            key = QuicSectionReader.checkKeyLength(bytes, fields.value(FieldNames.KEY), diagnostics);
        }
        Map<String, String> servers = readServers(fields, serverIdBytes, diagnostics);
        return new ConnectionIdSection(configuration, serverIdBytes, nonceBytes, connectionBytes, key, servers);
    }

    private static int readConnectionBytes(SectionFields fields, int nonceBytes, Diagnostics diagnostics) {
        if (!fields.has(FieldNames.CONNECTION_BYTES)) {
            return 0;
        }
        int connectionBytes = (int) fields.integer(
                FieldNames.CONNECTION_BYTES, MIN_CONNECTION_BYTES, ServerIds.LONGEST_NUMBER, MIN_CONNECTION_BYTES);
        if (connectionBytes >= nonceBytes || !fields.has(FieldNames.KEY)) {
            diagnostics.add(
                    fields.place(FieldNames.CONNECTION_BYTES),
                    "expected fewer connection-bytes than nonce-bytes, and a key: "
                            + "an unencrypted connection number lets observers track a client across networks");
        }
        return connectionBytes;
    }

    private static Map<String, String> readServers(SectionFields fields, int serverIdBytes, Diagnostics diagnostics) {
        Map<String, String> servers = new HashMap<>();
        for (Form item : fields.values(FieldNames.SERVERS)) {
            if (!(item instanceof Form.Sequence pair)
                    || pair.square()
                    || pair.items().size() != 2
                    || !(pair.items().get(0) instanceof Form.StringLiteral endpoint)
                    || !(pair.items().get(1) instanceof Form.StringLiteral serverId)) {
                diagnostics.add(item.place(), "expected (\"MEMBER\" \"SERVER ID\"), found " + item.describe());
                continue;
            }
            byte[] bytes = FormValues.bytes(serverId.value(), serverId.place(), diagnostics);
            if (bytes == null) {
                continue;
            }
            if (bytes.length != serverIdBytes) {
                diagnostics.add(
                        serverId.place(), "expected a server id of " + serverIdBytes + " bytes, found " + bytes.length);
            } else if (servers.put(HexFormat.of().formatHex(bytes), endpoint.value()) != null) {
                diagnostics.add(serverId.place(), "this server id is given twice");
            }
        }
        return servers;
    }
}

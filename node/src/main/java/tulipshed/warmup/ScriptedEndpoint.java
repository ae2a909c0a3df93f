package tulipshed.warmup;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * The remote end of all upstream connections: answers each open command as its key specifies, answers each message with
 * a load report and an echo, and forbids health checks.
 */
final class ScriptedEndpoint implements RemoteEnd {
    private static final byte[] ESTABLISHED = encode("UP 5be2a07c\r\n");
    private static final byte[] REJECTED = encode("BUSY\r\n");
    private static final byte[] FAILED = encode("ERR\r\n");
    private static final byte[] COMPLETED = encode("UP 5be2a07c\r\nBYE\r\n");
    private static final byte[] MIGRATED = encode("UP 5be2a07c\r\nMOVE\r\n");
    private static final byte[] LOAD_REPORT = encode("LOAD 20\r\n");
    private static final byte[] HEALTH_CHECK_FORBIDDEN = encode("NO\r\n");

    private static final String OPEN_COMMAND = "OPEN";
    private static final int ID_FIELD = 1;
    private static final int KEY_FIELD = 2;

    /** IDs of the requests that were rejected once. */
    private final Set<String> rejectedIds = new HashSet<>();

    private static byte[] encode(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void onBytes(InMemoryConnection connection, ByteBuffer bytes) {
        String line = StandardCharsets.US_ASCII.decode(bytes).toString();
        String[] fields = line.split(" ", -1);
        if (fields[0].equals(OPEN_COMMAND)) {
            answer(connection, fields[ID_FIELD], ExchangeKind.valueOf(fields[KEY_FIELD]));
        } else if (fields[0].equals(ScriptedClient.MESSAGE_COMMAND)) {
            connection.send(LOAD_REPORT);
            connection.send(encode(line));
        } else {
            connection.send(HEALTH_CHECK_FORBIDDEN);
        }
    }

    private void answer(InMemoryConnection connection, String id, ExchangeKind kind) {
        switch (kind) {
            case REJECTED_ONCE -> connection.send(rejectedIds.add(id) ? REJECTED : ESTABLISHED);
            case FAILED -> connection.send(FAILED);
            case COMPLETED -> sendAndEnd(connection, COMPLETED);
            case MIGRATED -> sendAndEnd(connection, MIGRATED);
            default -> connection.send(ESTABLISHED);
        }
    }

    private static void sendAndEnd(InMemoryConnection connection, byte[] lines) {
        connection.send(lines);
        connection.endSending();
    }

    @Override
    public void onEnd(InMemoryConnection connection) {
        connection.endSending();
    }
}

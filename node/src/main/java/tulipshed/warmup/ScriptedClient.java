package tulipshed.warmup;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Plays one client: sends one line once it is served, and ends after the reply or a final answer. */
final class ScriptedClient implements RemoteEnd {
    /** The word of a client's own lines. */
    static final String MESSAGE_WORD = "M";

    private static final byte[] MESSAGE = (MESSAGE_WORD + " 1\r\n").getBytes(StandardCharsets.US_ASCII);
    private static final String ESTABLISHED_WORD = "UP";
    private static final String PONG_WORD = "PONG";
    private static final String LOAD_WORD = "LOAD";

    private boolean isAnswered;

    /** Whether the node has answered the open command, in whatever way. */
    boolean isAnswered() {
        return isAnswered;
    }

    @Override
    public void onBytes(InMemoryConnection connection, ByteBuffer bytes) {
        String lines = StandardCharsets.US_ASCII.decode(bytes).toString();
        if (lines.startsWith(PONG_WORD) || lines.startsWith(LOAD_WORD)) {
            return;
        }
        isAnswered = true;
        if (lines.startsWith(ESTABLISHED_WORD)) {
            connection.send(MESSAGE);
        } else {
            connection.endSending();
        }
    }

    @Override
    public void onEnd(InMemoryConnection connection) {
        connection.endSending();
    }
}

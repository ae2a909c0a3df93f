package tulipshed.warmup;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A client that sends one line once it is served and ends the connection after the reply or a final response. */
final class ScriptedClient implements RemoteEnd {
    /** The command that precedes a message of the client. */
    static final String MESSAGE_COMMAND = "M";

    private static final byte[] MESSAGE = (MESSAGE_COMMAND + " 1\r\n").getBytes(StandardCharsets.US_ASCII);
    private static final String ESTABLISHED_COMMAND = "UP";
    private static final String PONG_COMMAND = "PONG";
    private static final String LOAD_COMMAND = "LOAD";

    private boolean isAnswered;

    /** Returns whether the node has answered the open command, with {@code UP} or with a final response. */
    boolean isAnswered() {
        return isAnswered;
    }

    @Override
    public void onBytes(InMemoryConnection connection, ByteBuffer bytes) {
        String lines = StandardCharsets.US_ASCII.decode(bytes).toString();
        if (lines.startsWith(PONG_COMMAND) || lines.startsWith(LOAD_COMMAND)) {
            return;
        }
        isAnswered = true;
        if (lines.startsWith(ESTABLISHED_COMMAND)) {
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

package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import tulipshed.decision.api.BalancerActions;
import tulipshed.time.Clock;

/**
 * Writes the actions of all instances as lines of JSON. Their external names, the values of {@code cmd} and the field
 * names, are defined only here. Confined to the adapter's thread; the output is flushed at the end of each batch.
 */
final class ReplyWriter implements BalancerActions {
    /** External value of {@code To} for a message to all peers. */
    private static final String TO_ALL_PEERS = "*";

    private final JsonGenerator json;
    private String instance;

    ReplyWriter(OutputStream out) throws IOException {
        json = new JsonFactory().createGenerator(out);
        json.setPrettyPrinter(new MinimalPrettyPrinter(""));
    }

    /** Sets the instance whose actions follow. */
    void selectInstance(String name) {
        instance = name;
    }

    /** Ends the reply to a batch and flushes it. */
    void endBatch(long frame) throws IOException {
        json.writeStartObject();
        json.writeStringField("cmd", "Done");
        json.writeNumberField("frame", frame);
        json.writeEndObject();
        json.writeRaw('\n');
        json.flush();
    }

    /** Writes that the instance threw an exception. */
    void writeException(String message) {
        writeLine("Exception", () -> json.writeStringField("Msg", message));
    }

    @Override
    public void startAttempt(long requestId, String endpointId, long timeoutUs) {
        writeLine("CallOut", () -> {
            json.writeNumberField("MsgId", requestId);
            json.writeStringField("Server", endpointId);
            if (timeoutUs != 0) {
                writeSeconds("PatienceS", timeoutUs);
            }
        });
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        writeLine("Recall", () -> {
            json.writeNumberField("MsgId", requestId);
            json.writeNumberField("Leg", attempt);
        });
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        writeLine("Decline", () -> {
            json.writeNumberField("MsgId", requestId);
            if (retryAfterUs > 0) {
                writeSeconds("HoldOffS", retryAfterUs);
            }
        });
    }

    @Override
    public void fail(long requestId) {
        writeLine("Fail", () -> json.writeNumberField("MsgId", requestId));
    }

    @Override
    public void migrate(long requestId) {
        writeLine("Move", () -> json.writeNumberField("MsgId", requestId));
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        writeLine("Defer", () -> {
            writeSeconds("AfterS", afterUs);
            json.writeNumberField("Label", token);
        });
    }

    @Override
    public void startHealthCheck(String endpointId) {
        writeLine("Poll", () -> json.writeStringField("Server", endpointId));
    }

    @Override
    public void sendToPeer(int peerIndex, byte[] body) {
        writeLine("WritePeer", () -> {
            if (peerIndex == ALL_PEERS) {
                json.writeStringField("To", TO_ALL_PEERS);
            } else {
                json.writeNumberField("To", peerIndex);
            }
            json.writeBinaryField("Body", body);
        });
    }

    @Override
    public void watchEndpoints() {
        writeLine("StreamChanges", () -> json.writeBooleanField("On", true));
    }

    @Override
    public void log(String message) {
        writeLine("WriteLog", () -> json.writeStringField("Msg", message));
    }

    /** Writes the fields of a line that follow its type and instance. */
    private interface FieldWriter {
        void write() throws IOException;
    }

    private void writeLine(String type, FieldWriter fields) {
        try {
            json.writeStartObject();
            json.writeStringField("cmd", type);
            json.writeStringField("Who", instance);
            fields.write();
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void writeSeconds(String name, long micros) throws IOException {
        json.writeNumberField(name, Clock.microsToSeconds(micros));
    }
}

package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import tulipshed.decision.BalancerApi.Actions;

/** Writes the actions of all instances in the simulator's words, one line each. */
final class ReplyWriter implements Actions {
    private final JsonGenerator json;
    private String who;

    ReplyWriter(OutputStream out) throws IOException {
        json = new JsonFactory().createGenerator(out);
        json.setPrettyPrinter(new MinimalPrettyPrinter(""));
    }

    /** All actions until the next call are of this instance. */
    void instance(String name) {
        who = name;
    }

    /** Ends the reply to a batch. */
    void done(long frame) throws IOException {
        json.writeStartObject();
        json.writeStringField("cmd", "Done");
        json.writeNumberField("frame", frame);
        json.writeEndObject();
        json.writeRaw('\n');
        json.flush();
    }

    void exception(String message) {
        line("Exception", () -> json.writeStringField("Msg", message));
    }

    @Override
    public void startAttempt(long requestId, String server, long timeoutUs) {
        line("CallOut", () -> {
            json.writeNumberField("MsgId", requestId);
            json.writeStringField("Server", server);
            if (timeoutUs != 0) {
                seconds("PatienceS", timeoutUs);
            }
        });
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        line("Recall", () -> {
            json.writeNumberField("MsgId", requestId);
            json.writeNumberField("Leg", attempt);
        });
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        line("Decline", () -> {
            json.writeNumberField("MsgId", requestId);
            if (retryAfterUs > 0) {
                seconds("HoldOffS", retryAfterUs);
            }
        });
    }

    @Override
    public void fail(long requestId) {
        line("Fail", () -> json.writeNumberField("MsgId", requestId));
    }

    @Override
    public void migrate(long requestId) {
        line("Move", () -> json.writeNumberField("MsgId", requestId));
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        line("Defer", () -> {
            seconds("AfterS", afterUs);
            json.writeNumberField("Label", token);
        });
    }

    @Override
    public void startHealthCheck(String server) {
        line("Poll", () -> json.writeStringField("Server", server));
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        line("WritePeer", () -> {
            if (peer == ALL_PEERS) {
                json.writeStringField("To", "*");
            } else {
                json.writeNumberField("To", peer);
            }
            json.writeBinaryField("Body", body);
        });
    }

    @Override
    public void watchEndpoints() {
        line("StreamChanges", () -> json.writeBooleanField("On", true));
    }

    @Override
    public void log(String message) {
        line("WriteLog", () -> json.writeStringField("Msg", message));
    }

    private interface Fields {
        void write() throws IOException;
    }

    private void line(String cmd, Fields fields) {
        try {
            json.writeStartObject();
            json.writeStringField("cmd", cmd);
            json.writeStringField("Who", who);
            fields.write();
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void seconds(String name, long micros) throws IOException {
        json.writeNumberField(name, micros / 1e6);
    }
}

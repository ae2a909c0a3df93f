package tulipshed.decision;

import java.util.ArrayList;
import java.util.List;

/** Keeps what was decided, as plain lines. */
final class Recorder implements BalancerApi.Actions {
    final List<String> lines = new ArrayList<>();

    @Override
    public void startAttempt(long requestId, String server, long timeoutUs) {
        lines.add("send " + requestId + " " + server);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        lines.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        lines.add("refuse " + requestId);
    }

    @Override
    public void fail(long requestId) {
        lines.add("fail " + requestId);
    }

    @Override
    public void migrate(long requestId) {
        lines.add("move " + requestId);
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        lines.add("timer " + afterUs + " " + token);
    }

    @Override
    public void startHealthCheck(String server) {
        lines.add("probe " + server);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        lines.add("tell " + peer + " " + body.length);
    }

    @Override
    public void watchEndpoints() {
        lines.add("watch");
    }

    @Override
    public void log(String message) {
        lines.add("log " + message);
    }

    /** Takes the lines recorded since the last call. */
    List<String> take() {
        List<String> taken = List.copyOf(lines);
        lines.clear();
        return taken;
    }

    /** The server of the only send since the last call. */
    String sentTo() {
        List<String> sends = take().stream().filter(l -> l.startsWith("send ")).toList();
        if (sends.size() != 1) {
            throw new AssertionError("expected one send, got " + sends);
        }
        return sends.get(0).split(" ")[2];
    }
}

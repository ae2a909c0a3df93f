package tulipshed.decision;

import java.util.ArrayList;
import java.util.List;
import tulipshed.decision.api.BalancerActions;

/** Records all actions as lines of text. */
final class RecordingActions implements BalancerActions {
    final List<String> lines = new ArrayList<>();

    @Override
    public void startAttempt(long requestId, String endpointId, long timeoutUs) {
        lines.add("start " + requestId + " " + endpointId);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        lines.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        lines.add("reject " + requestId);
    }

    @Override
    public void fail(long requestId) {
        lines.add("fail " + requestId);
    }

    @Override
    public void migrate(long requestId) {
        lines.add("migrate " + requestId);
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        lines.add("timer " + afterUs + " " + token);
    }

    @Override
    public void startHealthCheck(String endpointId) {
        lines.add("check " + endpointId);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        lines.add("peer " + peer + " " + body.length);
    }

    @Override
    public void watchEndpoints() {
        lines.add("watch");
    }

    @Override
    public void log(String message) {
        lines.add("log " + message);
    }

    /** Returns the lines recorded since the last call. */
    List<String> take() {
        List<String> taken = List.copyOf(lines);
        lines.clear();
        return taken;
    }

    /** Takes the lines and returns the endpoint of the only attempt among them. */
    String attemptedEndpoint() {
        List<String> attempts =
                take().stream().filter(line -> line.startsWith("start ")).toList();
        if (attempts.size() != 1) {
            throw new AssertionError("expected one attempt, got " + attempts);
        }
        return attempts.get(0).split(" ")[2];
    }
}

package tulipshed.decision;

import java.util.ArrayList;
import java.util.List;

/** Keeps what was decided, as plain lines. */
final class Recorder implements BalancerApi.Actions {
    final List<String> lines = new ArrayList<>();

    @Override
    public void send(long request, String server, long timeoutUs) {
        lines.add("send " + request + " " + server);
    }

    @Override
    public void cancel(long request, int attempt) {
        lines.add("cancel " + request + " " + attempt);
    }

    @Override
    public void refuse(long request, long retryAfterUs) {
        lines.add("refuse " + request);
    }

    @Override
    public void fail(long request) {
        lines.add("fail " + request);
    }

    @Override
    public void move(long request) {
        lines.add("move " + request);
    }

    @Override
    public void timer(long afterUs, long token) {
        lines.add("timer " + afterUs + " " + token);
    }

    @Override
    public void probe(String server) {
        lines.add("probe " + server);
    }

    @Override
    public void tell(int peer, byte[] body) {
        lines.add("tell " + peer + " " + body.length);
    }

    @Override
    public void watchList() {
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

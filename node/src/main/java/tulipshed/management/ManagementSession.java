package tulipshed.management;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.StreamConnection;
import tulipshed.transport.Link;

/** One connection of the second address: one call, one answer, and its end. */
final class ManagementSession implements Link.Owner {
    private final ManagementFront front;
    private final Link link;
    private final CallParser parser;
    private final double sinceMs;
    private boolean answered;

    ManagementSession(ManagementFront front, StreamConnection connection) {
        this.front = front;
        // Not counted by the loop: these descriptors are set aside, and clients have none of them.
        this.link = new Link(connection, this, () -> {});
        this.parser = new CallParser(front.limits.management().headBytes());
        this.sinceMs = front.clock.nowMs();
    }

    void start() {
        link.listen(true);
        readable(link);
    }

    double sinceMs() {
        return sinceMs;
    }

    @Override
    public void readable(Link from) {
        ByteBuffer in = front.scratch;
        for (int i = 0; i < front.limits.sockets().readsAtOnce() && !link.ended(); i++) {
            in.clear();
            int n = link.read(in);
            if (n < 0) {
                if (!answered || link.queued() == 0) {
                    close();
                } else {
                    link.listen(false);
                }
            }
            if (n <= 0) {
                return;
            }
            if (!answered) {
                take(in.flip());
            }
        }
    }

    private void take(ByteBuffer in) {
        try {
            if (parser.take(in)) {
                answer(front.answer(parser.method(), parser.path()));
            }
        } catch (BadCall e) {
            answer(Answer.plain(400, "Bad Request", e.getMessage()));
        }
    }

    /** The call did not become whole in time, or its answer was not read. */
    void late() {
        if (answered) {
            close();
        } else {
            answer(Answer.plain(408, "Request Timeout", "no whole call in time"));
        }
    }

    private void answer(Answer answer) {
        answered = true;
        front.answered(this);
        link.write(answer.bytes());
        link.finish();
        // What else is sent is read and dropped until the caller ends, so that no reset overtakes the answer.
        link.listen(true);
    }

    void close() {
        front.closed(this);
        link.close();
    }

    @Override
    public void drained(Link from) {}

    @Override
    public void broken(Link from) {
        close();
    }

    /** An answer of HTTP/1.1 after which the connection ends. */
    record Answer(int status, String reason, String type, String more, byte[] body) {
        static Answer plain(int status, String reason, String text) {
            return new Answer(
                    status,
                    reason,
                    "text/plain",
                    status == 405 ? "Allow: GET\r\n" : "",
                    (text + "\n").getBytes(StandardCharsets.US_ASCII));
        }

        byte[] bytes() {
            byte[] head = ("HTTP/1.1 " + status + " " + reason + "\r\nContent-Type: " + type + "\r\nContent-Length: "
                            + body.length + "\r\n" + more + "Connection: close\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            return ByteBuffer.allocate(head.length + body.length)
                    .put(head)
                    .put(body)
                    .array();
        }
    }
}

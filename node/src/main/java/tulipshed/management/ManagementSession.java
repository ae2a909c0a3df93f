package tulipshed.management;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.StreamConnection;
import tulipshed.transport.TcpConnection;

/** One connection of the second address: one call, one answer, and its end. */
final class ManagementSession implements TcpConnection.Listener {
    private final ManagementServer front;
    private final TcpConnection link;
    private final HttpRequestParser parser;
    private final double sinceMs;
    private boolean answered;

    ManagementSession(ManagementServer front, StreamConnection connection) {
        this.front = front;
        // Not counted by the loop: these descriptors are set aside, and clients have none of them.
        this.link = new TcpConnection(connection, this, () -> {});
        this.parser = new HttpRequestParser(front.limits.management().headBytes());
        this.sinceMs = front.clock.nowMs();
    }

    void start() {
        link.setReading(true);
        onReadable(link);
    }

    double sinceMs() {
        return sinceMs;
    }

    @Override
    public void onReadable(TcpConnection from) {
        ByteBuffer in = front.scratch;
        for (int i = 0; i < front.limits.sockets().maxReadsPerEvent() && !link.isClosed(); i++) {
            in.clear();
            int n = link.read(in);
            if (n < 0) {
                if (!answered || link.queuedBytes() == 0) {
                    close();
                } else {
                    link.setReading(false);
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
        } catch (MalformedRequestException e) {
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
        link.shutdownOutput();
        // What else is sent is read and dropped until the caller ends, so that no reset overtakes the answer.
        link.setReading(true);
    }

    void close() {
        front.closed(this);
        link.close();
    }

    @Override
    public void onWritten(TcpConnection from) {}

    @Override
    public void onBroken(TcpConnection from) {
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

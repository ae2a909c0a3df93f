package tulipshed.line;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.xnio.StreamConnection;
import tulipshed.link.Link;
import tulipshed.transaction.MemberConnector;
import tulipshed.transaction.ServerSideFlow;
import tulipshed.transaction.Transaction;
import tulipshed.transaction.VirtualServer;

/** The client's side of one connection, and the connector of its flows to members. */
final class ClientSession implements VirtualServer, MemberConnector, Link.Owner {
    private static final byte[] PING = "PING\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] PONG = "PONG\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ERR = "ERR\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] MOVE = "MOVE\r\n".getBytes(StandardCharsets.US_ASCII);

    private enum State { OPENING, OWED, RELAYING, CLOSING }

    private final LineFront front;
    private final Link link;
    private final LineSplitter splitter;
    private final double sinceMs;
    private final ByteArrayOutputStream early = new ByteArrayOutputStream();
    private State state = State.OPENING;
    private OpeningLine line;
    private Transaction transaction;
    private MemberConnection member;
    private boolean ended;

    ClientSession(LineFront front, StreamConnection connection) {
        this.front = front;
        this.link = front.loop.link(connection, this);
        this.splitter = new LineSplitter(front.limits.lineBytes());
        this.sinceMs = front.clock.nowMs();
    }

    void start() {
        link.listen(true);
        readable(link);
    }

    double sinceMs() {
        return sinceMs;
    }

    OpeningLine line() {
        return line;
    }

    // ---- What the client does ----

    @Override
    public void readable(Link from) {
        if (state == State.RELAYING) {
            relay();
            return;
        }
        ByteBuffer in = front.scratch;
        while (!link.ended()) {
            in.clear();
            int n = link.read(in);
            if (n <= 0) {
                if (n < 0) {
                    link.listen(false);
                    end();
                }
                return;
            }
            in.flip();
            take(in);
            if (state == State.RELAYING) {
                return;
            }
        }
    }

    private void take(ByteBuffer in) {
        while (state == State.OPENING && in.hasRemaining()) {
            try {
                byte[] first = splitter.next(in);
                if (first != null) {
                    opening(first);
                }
            } catch (BadLine e) {
                front.log.accept("malformed first line: " + e.getMessage());
                front.opened(this);
                fail();
            }
        }
        if (state == State.OWED && in.hasRemaining()) {
            // Clients wait for their answer; what one sends early is kept within bounds and goes on later.
            byte[] bytes = new byte[Math.min(in.remaining(), front.limits.relayBytes() - early.size())];
            in.get(bytes);
            early.writeBytes(bytes);
            if (in.hasRemaining()) {
                link.listen(false);
            }
        }
    }

    private void opening(byte[] first) {
        if (Arrays.equals(first, PING)) {
            if (front.ready()) {
                link.write(PONG);
            }
            return;
        }
        line = OpeningLine.parse(first, front.names);
        state = State.OWED;
        front.opened(this);
        transaction = new Transaction(this, this, line.arrival(), front.clock.nowMs(), line.at() != null);
        if (line.at() != null) {
            front.core.alreadyOpen(transaction, line.at());
        } else {
            front.core.arrived(transaction);
        }
    }

    /** The client ended its sending. */
    private void end() {
        ended = true;
        switch (state) {
            case OPENING -> {
                front.opened(this);
                link.close();
            }
            case OWED -> {
                // It may still listen for an answer; where it does not, this goes nowhere.
                front.core.clientLeft(transaction);
                fail();
            }
            case RELAYING -> member.clientFinished();
            default -> link.close();
        }
    }

    @Override
    public void broken(Link from) {
        front.opened(this);
        switch (state) {
            case OWED -> front.core.clientLeft(transaction);
            case RELAYING -> member.clientBroke();
            default -> { }
        }
        state = State.CLOSING;
    }

    /** The first line did not come in time. */
    void neverOpened() {
        front.opened(this);
        fail();
    }

    // ---- Answers ----

    @Override
    public void reject(double retryAfterMs) {
        long ms = (long) Math.ceil(retryAfterMs);
        last((ms > 0 ? "BUSY " + ms + "\r\n" : "BUSY\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void fail() {
        last(ERR);
    }

    @Override
    public void move() {
        if (state == State.RELAYING) {
            member.drop();
            // Only whole lines are ever queued for the client, so this stands between two of them.
            last(MOVE);
        }
    }

    /** Says a last line and closes once the client has read it, or after a while. */
    private void last(byte[] bytes) {
        if (state != State.CLOSING) {
            state = State.CLOSING;
            link.write(bytes);
            finish();
        }
    }

    /** Ends the sending; the rest of what the client sends is read and dropped, so that no reset overtakes. */
    private void finish() {
        link.finish();
        link.listen(!ended);
        front.loop.after(front.limits.lingerMs(), link::close);
        if (ended && link.queued() == 0) {
            link.close();
        }
    }

    // ---- Relay ----

    private void relay() {
        ByteBuffer in = front.scratch;
        while (!link.ended() && state == State.RELAYING) {
            int room = front.limits.relayBytes() - member.queued();
            if (room <= 0) {
                link.listen(false);
                return;
            }
            in.clear().limit(Math.min(room, in.capacity()));
            int n = link.read(in);
            if (n <= 0) {
                if (n < 0) {
                    link.listen(false);
                    end();
                }
                return;
            }
            in.flip();
            byte[] bytes = new byte[n];
            in.get(bytes);
            member.fromClient(bytes);
        }
    }

    /** The member serves: its line goes to the client, and all else both ways from now on. */
    void joined(MemberConnection to, byte[] up) {
        member = to;
        state = State.RELAYING;
        link.write(up);
        if (early.size() > 0) {
            member.fromClient(early.toByteArray());
            early.reset();
        }
        link.listen(true);
    }

    void fromMember(byte[] bytes) {
        link.write(bytes);
    }

    int queued() {
        return link.queued();
    }

    /** All that was queued for the member has been written. */
    void memberDrained() {
        if (state == State.RELAYING && !ended) {
            link.listen(true);
        }
    }

    /** The member ended its sending. */
    void memberFinished() {
        if (state == State.RELAYING) {
            state = State.CLOSING;
            finish();
        }
    }

    /** The member's connection broke. */
    void memberBroke() {
        state = State.CLOSING;
        link.abort();
    }

    @Override
    public void drained(Link from) {
        if (state == State.RELAYING) {
            member.clientDrained();
        } else if (state == State.CLOSING && ended) {
            link.close();
        }
    }

    // ---- Flows ----

    @Override
    public void open(ServerSideFlow flow) {
        member = new MemberConnection(front, this, flow);
        member.dial();
    }

    @Override
    public void giveUp(ServerSideFlow flow) {
        if (member != null && member.flow() == flow) {
            member.drop();
            member = null;
        }
    }
}

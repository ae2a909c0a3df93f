package tulipshed.lineprotocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.xnio.StreamConnection;
import tulipshed.proxy.Attempt;
import tulipshed.proxy.ClientConnection;
import tulipshed.proxy.Request;
import tulipshed.proxy.UpstreamConnector;
import tulipshed.transport.TcpConnection;

/** The client's side of one connection, and the connector of its flows to members. */
final class ClientSession implements ClientConnection, UpstreamConnector, TcpConnection.Listener {
    private static final byte[] PING = "PING\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] PONG = "PONG\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ERR = "ERR\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] MOVE = "MOVE\r\n".getBytes(StandardCharsets.US_ASCII);

    private enum State {
        OPENING,
        OWED,
        RELAYING,
        CLOSING
    }

    private final LineProtocolFrontend front;
    private final TcpConnection link;
    private final CrlfDecoder splitter;
    private final double sinceMs;
    private final ByteArrayOutputStream early = new ByteArrayOutputStream();
    private State state = State.OPENING;
    private OpenCommand line;
    private Request transaction;
    private UpstreamConnection member;
    private boolean ended;
    private boolean ownsId;
    private boolean closed;
    private int pings;

    ClientSession(LineProtocolFrontend front, StreamConnection connection) {
        this.front = front;
        this.link = front.loop.register(connection, this);
        this.splitter = new CrlfDecoder(front.limits.lineProtocol().lineBytes());
        this.sinceMs = front.clock.nowMs();
        front.clients(1);
    }

    void start() {
        link.setReading(true);
        onReadable(link);
    }

    double sinceMs() {
        return sinceMs;
    }

    OpenCommand line() {
        return line;
    }

    // ---- What the client does ----

    @Override
    public void onReadable(TcpConnection from) {
        if (state == State.RELAYING) {
            relay();
            return;
        }
        ByteBuffer in = front.scratch;
        // One that sends without end must not keep the loop to itself; what it has left is told again.
        for (int i = 0; i < front.limits.sockets().maxReadsPerEvent() && !link.isClosed(); i++) {
            in.clear();
            int n = link.read(in);
            if (n <= 0) {
                if (n < 0) {
                    link.setReading(false);
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
            } catch (MalformedLineException e) {
                bad(e.getMessage());
            }
        }
        if (state == State.OWED && in.hasRemaining()) {
            // Clients wait for their answer. What one sends early goes on later if it is as much as one line; one
            // that sends hundreds of commands at once is none of ours.
            if (early.size() + in.remaining() > front.limits.lineProtocol().lineBytes()) {
                front.core.clientDisconnected(transaction);
                bad("more lines before an answer");
                return;
            }
            byte[] bytes = new byte[in.remaining()];
            in.get(bytes);
            early.writeBytes(bytes);
        }
    }

    /** The client sent what is not of the protocol. */
    private void bad(String why) {
        front.complaints.record(why);
        fail();
    }

    private void opening(byte[] first) {
        if (Arrays.equals(first, PING)) {
            if (++pings > front.limits.lineProtocol().pings()) {
                throw new MalformedLineException("too many pings");
            }
            if (front.ready()) {
                link.write(PONG);
            }
            return;
        }
        line = OpenCommand.parse(
                first,
                front.names(),
                front.declarations(),
                front.limits.lineProtocol().longestWaitMs());
        ownsId = front.takeId(line.id());
        if (!ownsId) {
            // Members would answer ERR, one after the other.
            throw new MalformedLineException("the id of an open transaction");
        }
        state = State.OWED;
        front.unservedConnections.opened(this);
        transaction = new Request(
                this,
                this,
                line.attributes(),
                front.origin(link, line),
                front.clock.nowMs(),
                line.adoptedFrom() != null);
        if (line.adoptedFrom() != null) {
            front.core.adoptConnection(transaction, line.adoptedFrom());
        } else {
            front.core.requestArrived(transaction);
        }
    }

    /** The client ended its sending. */
    private void end() {
        ended = true;
        switch (state) {
            case OPENING -> close();
            case OWED -> {
                // It may still listen for an answer; where it does not, this goes nowhere.
                front.core.clientDisconnected(transaction);
                fail();
            }
            case RELAYING -> member.clientFinished();
            default -> close();
        }
    }

    @Override
    public void onBroken(TcpConnection from) {
        switch (state) {
            case OWED -> front.core.clientDisconnected(transaction);
            case RELAYING -> member.clientBroke();
            default -> {}
        }
        close();
    }

    /** Whether its first line is still awaited, once all is read that has come by now. */
    private boolean stillOpening() {
        look();
        return state == State.OPENING;
    }

    /** Reads what has come and was not told yet: the client may have gone, or its first line may have come. */
    void look() {
        if (state != State.RELAYING && !link.isClosed()) {
            onReadable(link);
        }
    }

    /** The first line did not come in time. */
    void onOpenTimeout() {
        if (stillOpening()) {
            bad("no first line in time");
        }
    }

    /** The node takes no more first lines. */
    void rejectIfOpening() {
        if (stillOpening()) {
            reject(front.core.retryAfterMs(front.limits.sockets().overloadRetryAfterMs()));
        }
    }

    /** Its descriptor is wanted for a client that can be served; one whose first line has just come can. */
    void evict() {
        rejectIfOpening();
        if (state == State.CLOSING) {
            close();
        }
    }

    /** Closes a while after its last line; over what is unread a close would be a reset, and the line go with it. */
    private void lingered() {
        look();
        close();
    }

    private void close() {
        closing();
        front.unservedConnections.closed(this);
        link.close();
        if (!closed) {
            closed = true;
            front.clients(-1);
        }
    }

    /** Nothing more is wanted of the client; its id is free again. */
    private void closing() {
        state = State.CLOSING;
        if (ownsId) {
            front.freeId(line.id());
            ownsId = false;
        }
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
    public void migrate() {
        if (state == State.RELAYING) {
            member.drop();
            // Only whole lines are ever queued for the client, so this stands between two of them.
            last(MOVE);
        }
    }

    /** Says a last line and closes once the client has read it, or after a while. */
    private void last(byte[] bytes) {
        if (state != State.CLOSING) {
            closing();
            link.write(bytes);
            finish();
        }
    }

    /** Ends the sending; the rest of what the client sends is read and dropped, so that no reset overtakes. */
    private void finish() {
        front.unservedConnections.answered(this);
        link.shutdownOutput();
        link.setReading(!ended);
        front.loop.schedule(front.limits.sockets().lingerTimeoutMs(), this::lingered);
        if (ended && link.queuedBytes() == 0) {
            close();
        }
    }

    // ---- Relay ----

    private void relay() {
        ByteBuffer in = front.scratch;
        while (!link.isClosed() && state == State.RELAYING) {
            int room = front.limits.sockets().relayBytes() - member.queued();
            if (room <= 0) {
                link.setReading(false);
                return;
            }
            in.clear().limit(Math.min(room, in.capacity()));
            int n = link.read(in);
            if (n <= 0) {
                if (n < 0) {
                    link.setReading(false);
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
    void joined(UpstreamConnection to, byte[] up) {
        member = to;
        state = State.RELAYING;
        link.write(up);
        if (early.size() > 0) {
            member.fromClient(early.toByteArray());
            early.reset();
        }
        link.setReading(true);
    }

    void fromMember(byte[] bytes) {
        link.write(bytes);
    }

    int queued() {
        return link.queuedBytes();
    }

    /** All that was queued for the member has been written. */
    void memberDrained() {
        if (state == State.RELAYING && !ended) {
            link.setReading(true);
        }
    }

    /** The member ended its sending. */
    void memberFinished() {
        if (state == State.RELAYING) {
            closing();
            finish();
        }
    }

    /** The member's connection broke. */
    void memberBroke() {
        link.abort();
        close();
    }

    @Override
    public void onWritten(TcpConnection from) {
        if (state == State.RELAYING) {
            member.clientDrained();
        } else if (state == State.CLOSING && ended) {
            close();
        }
    }

    // ---- Flows ----

    @Override
    public void open(Attempt attempt) {
        look();
        if (state != State.OWED) {
            // The client has gone, and the core, told so just now, calls the flow off.
            return;
        }
        member = new UpstreamConnection(front, this, attempt);
        member.dial();
    }

    @Override
    public void abandon(Attempt attempt) {
        if (member != null && member.flow() == attempt) {
            member.drop();
            member = null;
        }
    }
}

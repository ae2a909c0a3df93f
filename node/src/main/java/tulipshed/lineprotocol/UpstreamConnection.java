package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.StreamConnection;
import tulipshed.decision.BalancerApi.LoadReport;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.proxy.Attempt;
import tulipshed.transport.TcpConnection;
import tulipshed.transport.XnioEventLoop;

/** One server-side flow on a connection of its own to a pool member. */
final class UpstreamConnection implements TcpConnection.Listener {
    private enum State {
        DIALING,
        WAITING,
        STANDING,
        OVER
    }

    private final LineProtocolFrontend front;
    private final ClientSession client;
    private final Attempt flow;
    private final CrlfDecoder splitter;
    private State state = State.DIALING;
    private XnioEventLoop.PendingConnection dialing;
    private TcpConnection link;
    private String lastWord = "";
    private LoadReport report = LoadReport.NONE;
    private boolean clientFinished;
    private boolean dispatched;
    private final InactivityDetector silence;

    UpstreamConnection(LineProtocolFrontend front, ClientSession client, Attempt attempt) {
        this.front = front;
        this.client = client;
        this.flow = attempt;
        this.splitter = new CrlfDecoder(front.limits.lineProtocol().lineBytes());
        this.silence = new InactivityDetector(front.limits.requests().endpointTimeoutMs());
    }

    Attempt flow() {
        return flow;
    }

    void dial() {
        if (!front.roomForFlow()) {
            // Our own want of descriptors; it says nothing of the member.
            over(Outcome.UNUSED);
            return;
        }
        dialing = front.loop.connect(flow.endpoint().address(), this::up, why -> over(Outcome.CONNECT_FAILED));
    }

    private void up(StreamConnection connection) {
        link = front.loop.register(connection, this);
        // Its end may have come with this event, and not have been told yet.
        client.look();
        if (state != State.DIALING || !front.core.mayForward(flow)) {
            link.close();
            // One whose client has gone says nothing of the member.
            over(flow.request().isPending() ? Outcome.CONNECT_FAILED : Outcome.CANCELLED);
            return;
        }
        state = State.WAITING;
        double nowMs = front.clock.nowMs();
        double waitMs = client.line().adoptedFrom() == null
                ? flow.remainingWaitMs(nowMs)
                : flow.request().deadlineMs() - nowMs;
        link.write(client.line().forwardedLine(waitMs));
        link.setReading(true);
    }

    /** Ends the flow without a word to the core. */
    void drop() {
        close();
        if (dialing != null) {
            dialing.abandon();
        }
    }

    private void close() {
        state = State.OVER;
        front.relaying(this, false);
        if (link != null) {
            link.close();
        }
    }

    private void over(Outcome outcome) {
        if (state != State.OVER) {
            close();
            front.core.attemptEnded(flow, outcome, report);
        }
    }

    // ---- What the member does ----

    @Override
    public void onReadable(TcpConnection from) {
        ByteBuffer in = front.scratch;
        while (state != State.OVER) {
            int room = front.limits.sockets().relayBytes() - client.queued();
            if (state == State.STANDING && room <= 0) {
                link.setReading(false);
                return;
            }
            in.clear().limit(Math.min(Math.max(1, room), in.capacity()));
            int n = link.read(in);
            if (n <= 0) {
                if (n < 0) {
                    ended();
                }
                return;
            }
            in.flip();
            take(in);
        }
    }

    private void take(ByteBuffer in) {
        silence.responseReceived();
        while (state != State.OVER && in.hasRemaining()) {
            try {
                byte[] line = splitter.next(in);
                if (line != null) {
                    line(line);
                }
            } catch (MalformedLineException e) {
                if (state != State.STANDING) {
                    over(Outcome.ERROR);
                    return;
                }
                // Longer than the protocol allows; it is the client's to judge.
                client.fromMember(splitter.takePartialLine());
            }
        }
    }

    private void line(byte[] line) {
        String text = new String(line, StandardCharsets.ISO_8859_1).strip();
        int space = text.indexOf(' ');
        lastWord = space < 0 ? text : text.substring(0, space);
        String rest = space < 0 ? "" : text.substring(space + 1);
        if (state == State.STANDING) {
            client.fromMember(line);
        }
        try {
            switch (lastWord) {
                case "LOAD" -> load(rest);
                case "BYE", "ERR", "BUSY" ->
                    report = front.core.expectsInlineLoadReports() ? LoadReportParser.parse(rest) : LoadReport.NONE;
                default -> {}
            }
        } catch (MalformedLineException e) {
            // The line says what it says without it.
            front.memberComplaints.record(e.getMessage());
        }
        if (state == State.STANDING) {
            return;
        }
        switch (lastWord) {
            case "UP" -> {
                if (front.core.attemptEstablished(flow)) {
                    state = State.STANDING;
                    front.relaying(this, true);
                    client.joined(this, line);
                } else {
                    close();
                }
            }
            case "BUSY" -> over(Outcome.FULL);
            case "ERR" -> over(Outcome.ERROR);
            // BYE and MOVE tell how the flow ends; its end follows.
            case "BYE", "MOVE" -> {}
            default -> {
                front.memberComplaints.record("a word that is no answer");
                over(Outcome.ERROR);
            }
        }
    }

    /**
     * One word for both notes: where members tell only of delays, its figure is milliseconds. Taken for a load it would
     * spoil the module's count of what every member bears, as would a figure that is none.
     */
    private void load(String figure) {
        double value = LoadReportParser.parseValue(figure);
        if (state != State.STANDING) {
            return;
        }
        if (front.loadTellsDelay()) {
            front.core.latencyReported(flow, value);
        } else {
            front.core.loadReported(flow, value);
        }
    }

    private Outcome endOutcome(Outcome otherwise) {
        return switch (lastWord) {
            case "BYE" -> Outcome.OK;
            case "MOVE" -> Outcome.CANCELLED;
            default -> otherwise;
        };
    }

    /** The member ended its sending. */
    private void ended() {
        link.setReading(false);
        if (state == State.STANDING) {
            client.fromMember(splitter.takePartialLine());
            client.memberFinished();
        }
        over(endOutcome(clientFinished ? Outcome.CANCELLED : Outcome.RESET));
    }

    @Override
    public void onBroken(TcpConnection from) {
        if (state == State.STANDING) {
            client.memberBroke();
            over(endOutcome(Outcome.RESET));
        } else {
            // Without the line's last byte the member cannot have taken it.
            over(link.queuedBytes() > 0 ? Outcome.CONNECT_FAILED : Outcome.RESET);
        }
    }

    // ---- Relay ----

    int queued() {
        return link == null ? 0 : link.queuedBytes();
    }

    void fromClient(byte[] bytes) {
        silence.requestSent(front.clock.nowMs());
        link.write(bytes);
    }

    /** A member that runs answers every line of a client's at once; one that does not is gone, unannounced. */
    void lookAtSilence(double nowMs) {
        if (silence.isUnresponsive(nowMs)) {
            front.core.endpointUnresponsive(flow);
        }
    }

    @Override
    public void onWritten(TcpConnection from) {
        if (state == State.WAITING && !dispatched) {
            dispatched = true;
            front.core.attemptForwarded();
        }
        client.memberDrained();
    }

    void clientDrained() {
        if (state == State.STANDING) {
            link.setReading(true);
        }
    }

    /** The client ended its sending: so does this side, and the member's end is awaited for a while. */
    void clientFinished() {
        clientFinished = true;
        link.shutdownOutput();
        front.loop.schedule(front.limits.sockets().lingerTimeoutMs(), () -> {
            if (state == State.STANDING) {
                client.memberFinished();
                over(Outcome.CANCELLED);
            }
        });
    }

    void clientBroke() {
        if (state == State.STANDING) {
            link.abort();
            over(Outcome.CANCELLED);
        }
    }
}

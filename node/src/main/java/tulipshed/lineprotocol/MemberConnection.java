package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.StreamConnection;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.Report;
import tulipshed.transport.Link;
import tulipshed.transport.XnioLoop;
import tulipshed.proxy.ServerSideFlow;

/** One server-side flow on a connection of its own to a pool member. */
final class MemberConnection implements Link.Owner {
    private enum State {
        DIALING,
        WAITING,
        STANDING,
        OVER
    }

    private final LineFront front;
    private final ClientSession client;
    private final ServerSideFlow flow;
    private final LineSplitter splitter;
    private State state = State.DIALING;
    private XnioLoop.Dialing dialing;
    private Link link;
    private String lastWord = "";
    private Report report = Report.NONE;
    private boolean clientFinished;
    private boolean dispatched;
    private final Silence silence;

    MemberConnection(LineFront front, ClientSession client, ServerSideFlow flow) {
        this.front = front;
        this.client = client;
        this.flow = flow;
        this.splitter = new LineSplitter(front.limits.lines().lineBytes());
        this.silence = new Silence(front.limits.transactions().silentMs());
    }

    ServerSideFlow flow() {
        return flow;
    }

    void dial() {
        if (!front.roomForFlow()) {
            // Our own want of descriptors; it says nothing of the member.
            over(Outcome.UNUSED);
            return;
        }
        dialing = front.loop.dial(flow.member().address(), this::up, why -> over(Outcome.CONNECT_FAILED));
    }

    private void up(StreamConnection connection) {
        link = front.loop.link(connection, this);
        // Its end may have come with this event, and not have been told yet.
        client.look();
        if (state != State.DIALING || !front.core.maySend(flow)) {
            link.close();
            // One whose client has gone says nothing of the member.
            over(flow.transaction().owed() ? Outcome.CONNECT_FAILED : Outcome.CANCELLED);
            return;
        }
        state = State.WAITING;
        double nowMs = front.clock.nowMs();
        double waitMs = client.line().at() == null
                ? flow.waitLeftMs(nowMs)
                : flow.transaction().deadlineMs() - nowMs;
        link.write(client.line().onward(waitMs));
        link.listen(true);
    }

    /** Ends the flow without a word to the core. */
    void drop() {
        close();
        if (dialing != null) {
            dialing.giveUp();
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
            front.core.ended(flow, outcome, report);
        }
    }

    // ---- What the member does ----

    @Override
    public void readable(Link from) {
        ByteBuffer in = front.scratch;
        while (state != State.OVER) {
            int room = front.limits.sockets().relayBytes() - client.queued();
            if (state == State.STANDING && room <= 0) {
                link.listen(false);
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
        silence.heard();
        while (state != State.OVER && in.hasRemaining()) {
            try {
                byte[] line = splitter.next(in);
                if (line != null) {
                    line(line);
                }
            } catch (BadLine e) {
                if (state != State.STANDING) {
                    over(Outcome.ERROR);
                    return;
                }
                // Longer than the protocol allows; it is the client's to judge.
                client.fromMember(splitter.rest());
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
                    report = front.core.reportsInAnswers() ? LoadReport.read(rest) : Report.NONE;
                default -> {}
            }
        } catch (BadLine e) {
            // The line says what it says without it.
            front.memberComplaints.add(e.getMessage());
        }
        if (state == State.STANDING) {
            return;
        }
        switch (lastWord) {
            case "UP" -> {
                if (front.core.up(flow)) {
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
                front.memberComplaints.add("a word that is no answer");
                over(Outcome.ERROR);
            }
        }
    }

    /**
     * One word for both notes: where members tell only of delays, its figure is milliseconds. Taken for a load it would
     * spoil the module's count of what every member bears, as would a figure that is none.
     */
    private void load(String figure) {
        double value = LoadReport.figure(figure);
        if (state != State.STANDING) {
            return;
        }
        if (front.loadTellsDelay()) {
            front.core.delayed(flow, value);
        } else {
            front.core.loadChanged(flow, value);
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
        link.listen(false);
        if (state == State.STANDING) {
            client.fromMember(splitter.rest());
            client.memberFinished();
        }
        over(endOutcome(clientFinished ? Outcome.CANCELLED : Outcome.RESET));
    }

    @Override
    public void broken(Link from) {
        if (state == State.STANDING) {
            client.memberBroke();
            over(endOutcome(Outcome.RESET));
        } else {
            // Without the line's last byte the member cannot have taken it.
            over(link.queued() > 0 ? Outcome.CONNECT_FAILED : Outcome.RESET);
        }
    }

    // ---- Relay ----

    int queued() {
        return link == null ? 0 : link.queued();
    }

    void fromClient(byte[] bytes) {
        silence.asked(front.clock.nowMs());
        link.write(bytes);
    }

    /** A member that runs answers every line of a client's at once; one that does not is gone, unannounced. */
    void lookAtSilence(double nowMs) {
        if (silence.gone(nowMs)) {
            front.core.silent(flow);
        }
    }

    @Override
    public void drained(Link from) {
        if (state == State.WAITING && !dispatched) {
            dispatched = true;
            front.core.dispatched();
        }
        client.memberDrained();
    }

    void clientDrained() {
        if (state == State.STANDING) {
            link.listen(true);
        }
    }

    /** The client ended its sending: so does this side, and the member's end is awaited for a while. */
    void clientFinished() {
        clientFinished = true;
        link.finish();
        front.loop.after(front.limits.sockets().lingerMs(), () -> {
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

package tulipshed.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInput;
import tulipshed.decision.BalancerApi.ListKind;
import tulipshed.limits.Limits;
import tulipshed.link.Link;
import tulipshed.link.XnioLoop;
import tulipshed.transaction.MemberSource;
import tulipshed.transaction.TransactionCore;

/**
 * Watches discovery's list: each call waits for news, and the next follows as soon as it is answered. A call
 * that fails in any way ends the watch and is told to the core; when to ask again is the module's to say.
 */
public final class Watch implements MemberSource, Link.Owner {
    private final Limits limits;
    private final XnioLoop loop;
    private final TransactionCore core;
    private final Consumer<String> log;
    private final ByteBuffer in;
    private InetSocketAddress discovery;
    private long version;
    /** Whether the next call asks for the whole list, which discovery answers without waiting for news. */
    private boolean whole;
    private boolean catchingUp;
    private boolean watching;
    private boolean pushed;
    private boolean failing;
    private Link link;
    private XnioLoop.Dialing dialing;
    private HttpAnswer answer;
    private boolean calling;
    private long calls;

    public Watch(InetSocketAddress discovery, Limits limits, XnioLoop loop, TransactionCore core, long version,
            Consumer<String> log) {
        this.discovery = discovery;
        this.limits = limits;
        this.loop = loop;
        this.core = core;
        this.version = version;
        this.log = log;
        in = ByteBuffer.allocate(limits.sockets().readBytes());
    }

    @Override
    public void watch() {
        if (!calling) {
            call();
        }
    }

    /**
     * Whether lists are pushed to an agent on the node's machine: what the agent has counts as told, so it is watched by
     * itself from now on and asked again soon after each failure. Where discovery is asked, the module says when.
     */
    public void pushed(boolean toAgent) {
        pushed = toAgent;
        if (pushed) {
            watch();
        }
    }

    /** Asks now for all that changed, without waiting for news: what another process was told binds this one. */
    public void catchUp() {
        catchingUp = true;
        watch();
    }

    /** Whether it holds a connection. */
    public boolean open() {
        return link != null || dialing != null;
    }

    /** Asks nothing more; the node ends. */
    public void stop() {
        hangUp();
        calling = true;
    }

    /**
     * Discovery is elsewhere from now on. What the old address still says or fails to say changes nothing, and as
     * the new one may count its versions differently, it is asked for the whole list, at once: what it has to tell
     * counts as told soon after the move.
     */
    public void move(InetSocketAddress to) {
        if (!to.equals(discovery)) {
            hangUp();
            discovery = to;
            whole = true;
            call();
        }
    }

    private void call() {
        calling = true;
        answer = new HttpAnswer(limits.discovery().headBytes(), limits.discovery().bodyBytes());
        long call = ++calls;
        double silenceMs = pushed ? limits.discovery().agentSilenceMs() : limits.discovery().watchSilenceMs();
        loop.after(waitMs() + silenceMs, () -> {
            if (calling && call == calls) {
                failed("silence");
            }
        });
        if (link != null) {
            ask();
        } else {
            dialing = loop.dial(discovery, this::up, this::failed);
        }
    }

    private double waitMs() {
        return whole || catchingUp ? 0 : pushed ? limits.discovery().agentWaitMs() : limits.discovery().watchWaitMs();
    }

    private void up(StreamConnection connection) {
        dialing = null;
        link = loop.link(connection, this);
        link.listen(true);
        ask();
    }

    private void ask() {
        String host = discovery.getAddress().getHostAddress() + ":" + discovery.getPort();
        String what = whole ? "" : "?index=" + version + "&wait=" + (long) waitMs();
        link.write(("GET /discovery/hosts" + what + " HTTP/1.1\r\nHost: " + host
                + "\r\nAccept: application/json\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void readable(Link from) {
        while (link == from && !from.ended()) {
            in.clear();
            int n = from.read(in);
            if (n == 0) {
                return;
            }
            boolean complete;
            try {
                complete = n < 0 ? calling && answer.end() : calling && answer.take(in.flip());
            } catch (HttpAnswer.BadAnswer e) {
                failed(e.getMessage());
                return;
            }
            if (complete) {
                answered(n < 0);
            } else if (n < 0 || !calling) {
                broken(from);
                return;
            }
        }
    }

    private void answered(boolean ended) {
        if (answer.status() != 200) {
            failed("status " + answer.status());
            return;
        }
        MemberList list;
        try {
            list = MemberList.read(JsonValues.object(answer.body()));
        } catch (MalformedInput e) {
            failed(e.getMessage());
            return;
        }
        calling = false;
        failing = false;
        if (!watching) {
            watching = true;
            log.accept("discovery: watching from version " + list.version() + " on");
        }
        version = list.version();
        whole = false;
        catchingUp = false;
        if (ended || answer.closes()) {
            hangUp();
        }
        core.members(list.full() ? ListKind.COMPLETE : ListKind.CHANGES, list.members());
        if (pushed && list.members().isEmpty()) {
            loop.after(limits.discovery().agentPaceMs(), this::watch);
        } else {
            call();
        }
    }

    private void failed(String why) {
        if (!calling) {
            return;
        }
        calling = false;
        watching = false;
        // An agent is asked again so soon that each failure of a dark time would be a line.
        if (!pushed || !failing) {
            log.accept("discovery: " + why);
        }
        failing = true;
        hangUp();
        core.members(ListKind.FAILED, List.of());
        if (pushed) {
            loop.after(limits.discovery().agentRetryMs(), this::watch);
        }
    }

    private void hangUp() {
        if (dialing != null) {
            dialing.giveUp();
            dialing = null;
        }
        if (link != null) {
            link.close();
            link = null;
        }
    }

    @Override
    public void drained(Link from) { }

    @Override
    public void broken(Link from) {
        if (link == from) {
            hangUp();
            failed("the connection broke");
        }
    }
}

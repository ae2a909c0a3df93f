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
import tulipshed.transport.Link;
import tulipshed.transport.XnioLoop;
import tulipshed.proxy.MemberSource;
import tulipshed.proxy.TransactionCore;

/**
 * Watches discovery's list: each call waits for news, and the next follows as soon as it is answered. Each step of a call
 * has a time of its own. A watch that has fallen silent is opened anew at once; any other call that fails ends the watch
 * and is told to the core, and when to ask again is the module's to say. All of that fits into the 6 s after which a change
 * counts as told, whatever became of the calls before.
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
    private boolean stopped;
    private boolean watching;
    private boolean pushed;
    private boolean failing;
    private Link link;
    private XnioLoop.Dialing dialing;
    private HttpAnswer answer;
    private boolean calling;
    /** How long the call that is out waits there for news. */
    private double waitMs;
    /** Whether the answer to it has begun. */
    private boolean answering;

    private long steps;

    public Watch(
            InetSocketAddress discovery,
            Limits limits,
            XnioLoop loop,
            TransactionCore core,
            long version,
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
        if (!calling && !stopped) {
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

    /**
     * Asks now for all that changed, without waiting for news: what another process was told binds this one. A call that
     * is out and waits for news is given up for it.
     */
    public void catchUp() {
        catchingUp = true;
        if (calling && waitMs > 0) {
            hangUp();
        }
        watch();
    }

    /** Whether it holds a connection. */
    public boolean open() {
        return link != null || dialing != null;
    }

    /** Asks nothing more; the node ends. */
    public void stop() {
        stopped = true;
        hangUp();
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
            watch();
        }
    }

    private void call() {
        calling = true;
        answering = false;
        waitMs = whole || catchingUp
                ? 0
                : pushed ? limits.discovery().agentWaitMs() : limits.discovery().watchWaitMs();
        answer = new HttpAnswer(
                limits.discovery().headBytes(), limits.discovery().bodyBytes());
        if (link != null) {
            ask();
        } else {
            within(limits.discovery().dialMs(), () -> failed("no connection in time"));
            dialing = loop.dial(discovery, this::up, this::failed);
        }
    }

    private double silenceMs() {
        return pushed ? limits.discovery().agentSilenceMs() : limits.discovery().watchSilenceMs();
    }

    /** The call that is out has this long for its next step. */
    private void within(double ms, Runnable otherwise) {
        long step = ++steps;
        loop.after(ms, () -> {
            if (calling && step == steps) {
                otherwise.run();
            }
        });
    }

    private void up(StreamConnection connection) {
        dialing = null;
        link = loop.link(connection, this);
        link.listen(true);
        ask();
    }

    private void ask() {
        within(waitMs + silenceMs(), () -> silent("silence"));
        String host = discovery.getAddress().getHostAddress() + ":" + discovery.getPort();
        String what = whole ? "" : "?index=" + version + "&wait=" + (long) waitMs;
        link.write(
                ("GET /discovery/hosts" + what + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * The answer did not come, or not all of it. Where the call waited for news the watch is broken, and what it missed may
     * be known for seconds already: it is opened anew without a pause, and asks at once. Callers do not crowd by that, as
     * each began its watch at a time of its own.
     */
    private void silent(String why) {
        if (waitMs == 0 || pushed) {
            failed(why);
            return;
        }
        log.accept("discovery: " + why + ", the watch is opened anew");
        watching = false;
        catchUp();
    }

    @Override
    public void readable(Link from) {
        while (link == from && !from.ended()) {
            in.clear();
            int n = from.read(in);
            if (n == 0) {
                return;
            }
            if (n > 0 && calling && !answering) {
                answering = true;
                within(limits.discovery().answerMs(), () -> silent("an answer that does not end"));
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
        // Changes that lead back to an older version leave open what the list is there now.
        whole = !whole && !list.full() && list.version() < version;
        version = list.version();
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

    /** Ends the call that is out, if there is one, and its connection; nothing of it is told. */
    private void hangUp() {
        calling = false;
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
    public void drained(Link from) {}

    @Override
    public void broken(Link from) {
        if (link == from) {
            failed("the connection broke");
            hangUp();
        }
    }
}

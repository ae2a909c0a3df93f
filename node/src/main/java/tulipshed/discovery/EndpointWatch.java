package tulipshed.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jboss.logging.Logger;
import org.xnio.StreamConnection;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.EndpointListSource;
import tulipshed.proxy.ProxyCore;
import tulipshed.transport.TcpConnection;
import tulipshed.transport.XnioEventLoop;

/**
 * Watches discovery's list: each call waits for news, and the next follows as soon as it is answered. Each step of a call
 * has a time of its own. A watch that has fallen silent is opened anew at once; any other call that fails ends the watch
 * and is told to the core, and when to ask again is the module's to say. All of that fits into the 6 s after which a change
 * counts as told, whatever became of the calls before.
 */
public final class EndpointWatch implements EndpointListSource, TcpConnection.Listener {
    private final Limits limits;
    private final XnioEventLoop loop;
    private final ProxyCore core;
    private final Logger log;
    private final ByteBuffer in;
    private InetSocketAddress discovery;
    private long version;
    /** Whether the next call asks for the whole list, which discovery answers without waiting for news. */
    private boolean whole;

    private boolean catchingUp;
    private boolean stopped;
    private boolean watching;
    private boolean setPushed;
    private boolean failing;
    private TcpConnection link;
    private XnioEventLoop.PendingConnection dialing;
    private HttpResponseParser answer;
    private boolean calling;
    /** How long the call that is out waits there for news. */
    private double waitMs;
    /** Whether the answer to it has begun. */
    private boolean answering;

    private long steps;

    public EndpointWatch(
            InetSocketAddress discovery, Limits limits, XnioEventLoop loop, ProxyCore core, long version, NodeLog log) {
        this.discovery = discovery;
        this.limits = limits;
        this.loop = loop;
        this.core = core;
        this.version = version;
        this.log = log.logger("discovery");
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
    public void setPushed(boolean toAgent) {
        setPushed = toAgent;
        if (setPushed) {
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
    public boolean isConnected() {
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
    public void setDiscoveryAddress(InetSocketAddress to) {
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
                : setPushed
                        ? limits.discovery().agentWaitMs()
                        : limits.discovery().watchWaitMs();
        answer = new HttpResponseParser(
                limits.discovery().headBytes(), limits.discovery().bodyBytes());
        if (link != null) {
            ask();
        } else {
            within(limits.discovery().connectTimeoutMs(), () -> failed("connect timeout"));
            dialing = loop.connect(discovery, this::up, this::failed);
        }
    }

    private double silenceMs() {
        return setPushed
                ? limits.discovery().agentTimeoutMs()
                : limits.discovery().watchTimeoutMs();
    }

    /** The call that is out has this long for its next step. */
    private void within(double ms, Runnable otherwise) {
        long step = ++steps;
        loop.schedule(ms, () -> {
            if (calling && step == steps) {
                otherwise.run();
            }
        });
    }

    private void up(StreamConnection connection) {
        dialing = null;
        link = loop.register(connection, this);
        link.setReading(true);
        ask();
    }

    private void ask() {
        within(waitMs + silenceMs(), () -> silent("no response in time"));
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
        if (waitMs == 0 || setPushed) {
            failed(why);
            return;
        }
        log.warn("reopening watch: " + why);
        watching = false;
        catchUp();
    }

    @Override
    public void onReadable(TcpConnection from) {
        while (link == from && !from.isClosed()) {
            in.clear();
            int n = from.read(in);
            if (n == 0) {
                return;
            }
            if (n > 0 && calling && !answering) {
                answering = true;
                within(limits.discovery().responseTimeoutMs(), () -> silent("incomplete response"));
            }
            boolean complete;
            try {
                complete = n < 0 ? calling && answer.end() : calling && answer.take(in.flip());
            } catch (HttpResponseParser.MalformedResponseException e) {
                failed(e.getMessage());
                return;
            }
            if (complete) {
                answered(n < 0);
            } else if (n < 0 || !calling) {
                onBroken(from);
                return;
            }
        }
    }

    private void answered(boolean ended) {
        if (answer.status() != 200) {
            failed("status " + answer.status());
            return;
        }
        EndpointListUpdate list;
        try {
            list = EndpointListUpdate.read(JsonValues.object(answer.body()));
        } catch (MalformedInputException e) {
            failed(e.getMessage());
            return;
        }
        calling = false;
        failing = false;
        if (!watching) {
            watching = true;
            log.info("watching endpoint list from version " + list.version());
        }
        // Changes that lead back to an older version leave open what the list is there now.
        whole = !whole && !list.full() && list.version() < version;
        version = list.version();
        catchingUp = false;
        if (ended || answer.closes()) {
            hangUp();
        }
        core.endpointsChanged(list.full() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, list.entries());
        if (setPushed && list.entries().isEmpty()) {
            loop.schedule(limits.discovery().agentPollIntervalMs(), this::watch);
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
        if (!setPushed || !failing) {
            log.warn("call failed: " + why);
        }
        failing = true;
        hangUp();
        core.endpointsChanged(EndpointListKind.FAILED, List.of());
        if (setPushed) {
            loop.schedule(limits.discovery().agentRetryDelayMs(), this::watch);
        }
    }

    /** Ends the call that is out, if there is one, and its connection; nothing of it is told. */
    private void hangUp() {
        calling = false;
        if (dialing != null) {
            dialing.abandon();
            dialing = null;
        }
        if (link != null) {
            link.close();
            link = null;
        }
    }

    @Override
    public void onWritten(TcpConnection from) {}

    @Override
    public void onBroken(TcpConnection from) {
        if (link == from) {
            failed("connection lost");
            hangUp();
        }
    }
}

package tulipshed.lab.load;

import java.io.IOException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.lab.engine.Message;
import tulipshed.lab.model.Kinds;
import tulipshed.lab.model.NodeSide;
import tulipshed.lab.model.World;
import tulipshed.lab.policy.Flow;
import tulipshed.lab.policy.MemberNews;
import tulipshed.lab.policy.Try;
import tulipshed.lab.policy.Wish;
import tulipshed.lab.rules.NodeRules;

/** A node that is a process: its clients connect to it over loopback, its flows arrive at the members' sockets. */
final class SocketNode extends NodeSide {
    private final LoadRun run;
    private final NodeProcess process;
    private static final double SOCKETS_MS = 50; // by which each time limit is longer there
    private static final double SAYS_MS = 2000;
    private static final double HEARS_MS = 600; // a sound connection brings a line back at once
    private NodeRules rules;
    private long lastTry;
    private long served;
    private long endpointConnections;
    private final Set<Client> standing = new HashSet<>();

    SocketNode(int id, int number, World world, LoadRun run, NodeProcess process) {
        super(id, number, world);
        this.run = run;
        this.process = process;
    }

    /** What it used so far; {@code listBytes} is what discovery has sent it. */
    NodeUsage usage(long listBytes) {
        ProcessUsage used = process.usage();
        return new NodeUsage(
                number,
                used.cpuSeconds(),
                used.peakMemoryMib(),
                used.peakDescriptors(),
                endpointConnections,
                listBytes,
                lastTry,
                served);
    }

    NodeRules rules() {
        return rules;
    }

    @Override
    protected void begin(MemberNews.Batch list) {
        rules = newRules(SOCKETS_MS);
        clients.next(0);
    }

    @Override
    protected Flow alreadyOpen(Wish w, int member) {
        throw new IllegalArgumentException("over sockets, set clients.come-at-first to 1");
    }

    @Override
    protected boolean takes() {
        return process.serves();
    }

    /** One client's connection to the node. */
    private final class Client implements Wire.Listener {
        private final Try t;
        private Wire wire;
        private boolean here = true;
        private double saidMs = Double.NaN;

        Client(Try t) {
            this.t = t;
        }

        @Override
        public void line(Wire from, String line) {
            now();
            String word = line.contains(" ") ? line.substring(0, line.indexOf(' ')) : line;
            if (t.standing) {
                if (word.equals("M")) {
                    saidMs = Double.NaN;
                } else if (word.equals("UP") || word.equals("BUSY") || word.equals("ERR")) {
                    rules.answered(nowMs, t.watched, word);
                }
                if (word.equals("MOVE")) {
                    gone();
                    if (t.flow == null || !t.flow.over) {
                        // Its member counts those that it sends away itself.
                        tally().at(tally().moves, nowMs);
                    }
                    clients.returns(nowMs, t);
                }
                return;
            }
            if (!t.owed) {
                return;
            }
            t.owed = false;
            if (run.stoodStill(number, t.askedMs, nowMs)) {
                rules.left(t.watched);
            }
            if (word.equals("UP")) {
                served++;
                t.standing = true;
                standing.add(this);
                remind(nowMs + SAYS_MS * random.nextDouble(), Kinds.SAYS, this, 0);
                rules.answered(nowMs, t.watched, "served");
                clients.served(nowMs, t);
                remind(Math.max(nowMs, t.wish.untilMs), Kinds.LIFE_OVER, this, 0);
                return;
            }
            gone();
            boolean busy = word.equals("BUSY");
            rules.answered(nowMs, t.watched, busy ? "refused" : "failed");
            tally().at(busy ? tally().refused : tally().failed, nowMs);
            clients.refused(nowMs, t, busy && line.length() > 5 ? Double.parseDouble(line.substring(5)) : 0);
        }

        @Override
        public void ended(Wire from, boolean reset) {
            now();
            drop();
            if (t.standing) {
                if (process.killed()) {
                    // Its members count all other resets.
                    tally().at(tally().resets, nowMs);
                }
                clients.returns(nowMs, t);
            } else if (t.owed) {
                t.owed = false;
                if (!process.killed() && !run.stoodStill(number, t.askedMs, nowMs)) {
                    rules.waited(nowMs, t.watched);
                } else {
                    rules.left(t.watched);
                }
                clients.again(nowMs, t.wish, world.scenario().clients().returnMs());
            }
        }

        /** The client ends its side. */
        private void gone() {
            wire.close();
            drop();
        }

        private void drop() {
            here = false;
            standing.remove(this);
            run.forget(t);
        }
    }

    /** Worth of the connections that stand and on which no line of the client's is waited for any more than it should. */
    double wellServed(double atMs) {
        double sum = 0;
        for (Client c : standing) {
            if (!(atMs - c.saidMs > HEARS_MS)) {
                sum += world.scenario().classes().get(c.t.wish.requestClass).worth();
            }
        }
        return sum;
    }

    private void now() {
        nowMs = run.nowMs();
    }

    @Override
    protected void asked(Wish w, double graceMs) {
        Try t = new Try(
                (long) number << LoadRun.TRIES | ++lastTry,
                w,
                nowMs,
                nowMs + graceMs,
                rules.asked(nowMs, lastTry, nowMs + graceMs));
        Client c = new Client(t);
        t.kept = c;
        try {
            c.wire = run.connect(process.address(), c);
        } catch (IOException e) {
            clients.again(nowMs, w, world.scenario().clients().returnMs());
            return;
        }
        String id = run.remember(t);
        var s = world.scenario();
        c.wire.say(String.format(
                Locale.ROOT,
                "OPEN %s k%s c=%s,t=%s,d=%d%s%s",
                id,
                id,
                s.classes().get(w.requestClass).name(),
                s.tenants().get(w.tenant).name(),
                Math.round(graceMs),
                w.group < 0 ? "" : ",g=g" + w.group,
                w.returning ? ",again=1" : ""));
        remind(t.deadlineMs + SLACK_MS + SOCKETS_MS + 1, Kinds.WAITED, t, 0);
    }

    @Override
    protected boolean unanswered(Try t) {
        if (!t.owed) {
            return false;
        }
        t.owed = false;
        if (run.stoodStill(number, t.askedMs, nowMs)) {
            rules.left(t.watched);
        } else {
            rules.waited(nowMs, t.watched);
        }
        ((Client) t.kept).gone();
        return true;
    }

    /** The node's flow for a client has arrived at a member. */
    Flow dialled(Try t, int member, Wire wire) {
        now();
        endpointConnections++;
        Flow f = new Flow(t, member, nowMs, run.toldStartMs(member), this);
        t.attempts++;
        // One that was held on its way comes after the one that took its place.
        t.flow = t.flow == null || t.flow.over ? f : t.flow;
        f.kept = wire;
        if (!run.linked()) {
            rules.sent(nowMs, t.watched, member);
        }
        tally().at(tally().attempts, nowMs);
        sendToMember(member, Kinds.DIAL, f, 0);
        return f;
    }

    /** The node has ended a flow, because its client left or because it did not want to wait. */
    void closedByNode(Flow f) {
        now();
        if (!f.over) {
            f.over = true;
            over(f, "closed by the node");
            sendToMember(f.member, Kinds.DROP, f, 0);
        }
    }

    /** Over links, the node's end of them says when a flow is over. */
    private void over(Flow f, String how) {
        if (!run.linked()) {
            rules.over(nowMs, f.of.watched, how);
        }
    }

    /** Has its process stand still, or go on. */
    void still(boolean on) {
        process.still(on);
    }

    @Override
    protected void hear(Message m) {
        switch (m.kind) {
            case Kinds.UP -> up((Flow) m.what);
            case Kinds.ENDED -> {
                Flow f = (Flow) m.what;
                if (!f.over) {
                    f.over = true;
                    over(f, "" + Outcome.values()[(int) m.value]);
                    SocketMember.end(f, Outcome.values()[(int) m.value]);
                }
            }
            case Kinds.DELAY -> {
                Flow f = (Flow) m.what;
                if (!f.over) {
                    ((Wire) f.kept).say("LOAD " + Math.round(m.value));
                }
            }
            case Kinds.SAYS -> {
                Client c = (Client) m.what;
                if (c.here) {
                    c.wire.say("M 1");
                    c.saidMs = Double.isNaN(c.saidMs) ? nowMs : c.saidMs;
                    remind(nowMs + SAYS_MS, Kinds.SAYS, c, 0);
                }
            }
            case Kinds.LIFE_OVER -> {
                Client c = (Client) m.what;
                if (c.here) {
                    c.gone();
                }
            }
            case Kinds.STOP -> {
                process.stop(m.value > 0);
                remind(nowMs + world.scenario().nodes().restartMs(), Kinds.START, null, 0);
            }
            case Kinds.START -> {
                if (process.alive()) {
                    remind(nowMs + 50, Kinds.START, null, 0);
                } else {
                    // Another process, which knows what its file says until it is told.
                    rules.starts();
                    process.start();
                }
            }
            default -> throw new IllegalArgumentException("a trouble that sockets cannot have: " + m.kind);
        }
    }

    private void up(Flow f) {
        if (!f.over) {
            ((Wire) f.kept).say("UP r" + Long.toHexString(f.of.id));
        }
    }
}

package tulipshed.lab.load;

import java.io.IOException;
import java.util.Locale;
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
    private NodeRules rules;
    private long lastTry;

    SocketNode(int id, int number, World world, LoadRun run, NodeProcess process) {
        super(id, number, world);
        this.run = run;
        this.process = process;
    }

    NodeRules rules() {
        return rules;
    }

    @Override
    protected void begin(MemberNews.Batch list) {
        rules = newRules();
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

        Client(Try t) {
            this.t = t;
        }

        @Override
        public void line(Wire from, String line) {
            now();
            String word = line.contains(" ") ? line.substring(0, line.indexOf(' ')) : line;
            if (t.standing) {
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
            if (word.equals("UP")) {
                t.standing = true;
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
                if (!process.killed()) {
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
            run.forget(t);
        }
    }

    private void now() {
        nowMs = run.nowMs();
    }

    @Override
    protected void asked(Wish w, double graceMs) {
        Try t = new Try((long) number << LoadRun.TRIES | ++lastTry, w, nowMs, nowMs + graceMs,
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
        c.wire.say(String.format(Locale.ROOT, "OPEN %s k%s c=%s,t=%s,d=%d%s%s", id, id, s.classes().get(w.requestClass).name(),
                s.tenants().get(w.tenant).name(), Math.round(graceMs), w.group < 0 ? "" : ",g=g" + w.group,
                w.returning ? ",again=1" : ""));
        remind(t.deadlineMs + SLACK_MS + 1, Kinds.WAITED, t, 0);
    }

    @Override
    protected boolean unanswered(Try t) {
        if (!t.owed) {
            return false;
        }
        t.owed = false;
        rules.waited(nowMs, t.watched);
        ((Client) t.kept).gone();
        return true;
    }

    /** The node's flow for a client has arrived at a member. */
    Flow dialled(Try t, int member, Wire wire) {
        now();
        Flow f = new Flow(t, member, nowMs, run.toldStartMs(member), this);
        t.attempts++;
        t.flow = f;
        f.kept = wire;
        rules.sent(nowMs, t.watched, member);
        tally().at(tally().attempts, nowMs);
        sendToMember(member, Kinds.DIAL, f, 0);
        return f;
    }

    /** The node has ended a flow, because its client left or because it did not want to wait. */
    void closedByNode(Flow f) {
        now();
        if (!f.over) {
            f.over = true;
            rules.over(nowMs, f.of.watched, "closed by the node");
            sendToMember(f.member, Kinds.DROP, f, 0);
        }
    }

    @Override
    protected void hear(Message m) {
        switch (m.kind) {
            case Kinds.UP -> up((Flow) m.what);
            case Kinds.ENDED -> {
                Flow f = (Flow) m.what;
                if (!f.over) {
                    f.over = true;
                    rules.over(nowMs, f.of.watched, "" + Outcome.values()[(int) m.value]);
                    SocketMember.end(f, Outcome.values()[(int) m.value]);
                }
            }
            case Kinds.DELAY -> {
                Flow f = (Flow) m.what;
                if (!f.over) {
                    ((Wire) f.kept).say("LOAD " + Math.round(m.value));
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

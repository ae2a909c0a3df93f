package tulipshed.lineprotocol;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.StreamConnection;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.Report;
import tulipshed.transport.Link;
import tulipshed.transport.XnioLoop;
import tulipshed.proxy.MemberProber;
import tulipshed.proxy.PoolMember;

/**
 * Probes of members by {@code STATS}, on connections that are kept for the next probe, as opening one costs the member
 * more than the probe: one a member, closed when unused, bounded in number, each probe bounded in time.
 */
final class MemberProbes implements MemberProber {
    private static final byte[] STATS = "STATS\r\n".getBytes(StandardCharsets.US_ASCII);

    private final LineFront front;
    /** By member; the one used longest ago comes first. */
    private final Map<String, Probe> probes = new LinkedHashMap<>(16, 0.75f, true);

    private boolean leaving;

    MemberProbes(LineFront front) {
        this.front = front;
    }

    @Override
    public void probe(PoolMember member) {
        Probe p = probes.get(member.id());
        if (p != null && !p.asking && !p.address.equals(member.address())) {
            p.drop();
            p = null;
        }
        if (p == null && !leaving && room()) {
            p = new Probe(member);
            probes.put(member.id(), p);
        }
        if (p == null) {
            front.core.probed(member.id(), Outcome.UNUSED, Report.NONE);
        } else if (!p.asking) {
            p.ask();
        }
    }

    /** The node takes no more clients: no probe is sent any more, and no connection kept. */
    void leave() {
        leaving = true;
        new ArrayList<>(probes.values()).forEach(p -> p.over(Outcome.UNUSED));
    }

    /** Whether one more connection may be opened; one that waits unused gives way. */
    private boolean room() {
        int most = front.limits.probes().connections();
        if (probes.size() >= most) {
            probes.values().stream().filter(p -> !p.asking).findFirst().ifPresent(Probe::drop);
        }
        return probes.size() < most && front.loop.hasRoomForFlow();
    }

    /** Closes what was not used for long. */
    void sweep(double nowMs) {
        for (Probe p : new ArrayList<>(probes.values())) {
            if (!p.asking && nowMs >= p.usedMs + front.limits.probes().idleMs()) {
                p.drop();
            }
        }
    }

    /** One member's connection for probes, and the probe that is out on it. */
    private final class Probe implements Link.Owner {
        private final String member;
        private final InetSocketAddress address;
        private final LineSplitter splitter =
                new LineSplitter(front.limits.lines().lineBytes());
        private XnioLoop.Dialing dialing;
        private Link link;
        private boolean asking;
        private boolean kept;
        private int number;
        private double usedMs;

        Probe(PoolMember member) {
            this.member = member.id();
            this.address = member.address();
        }

        void ask() {
            asking = true;
            usedMs = front.clock.nowMs();
            kept = link != null;
            int mine = ++number;
            if (kept) {
                link.write(STATS);
            } else {
                dial();
            }
            front.loop.after(front.limits.probes().answerMs(), () -> {
                if (asking && number == mine) {
                    over(link == null ? Outcome.CONNECT_FAILED : Outcome.TIMEOUT);
                }
            });
        }

        private void dial() {
            dialing = front.loop.dial(address, this::up, why -> over(Outcome.CONNECT_FAILED));
        }

        private void up(StreamConnection connection) {
            dialing = null;
            link = front.loop.link(connection, this);
            link.write(STATS);
            link.listen(true);
        }

        private void answered(Outcome outcome, Report report) {
            if (asking) {
                asking = false;
                front.core.probed(member, outcome, report);
            }
        }

        private void over(Outcome outcome) {
            drop();
            answered(outcome, Report.NONE);
        }

        void drop() {
            probes.remove(member, this);
            if (dialing != null) {
                dialing.giveUp();
            }
            if (link != null) {
                link.close();
            }
        }

        @Override
        public void readable(Link from) {
            for (int reads = 0; reads < front.limits.sockets().readsAtOnce() && !link.ended(); reads++) {
                front.scratch.clear();
                int n = link.read(front.scratch);
                if (n < 0) {
                    broken(from);
                }
                if (n <= 0) {
                    return;
                }
                take(front.scratch.flip());
            }
        }

        private void take(ByteBuffer in) {
            try {
                for (byte[] line = splitter.next(in); line != null && !link.ended(); line = splitter.next(in)) {
                    line(new String(line, StandardCharsets.ISO_8859_1).strip());
                }
            } catch (BadLine e) {
                front.memberComplaints.add(e.getMessage());
                over(Outcome.ERROR);
            }
        }

        private void line(String text) {
            if (!asking) {
                // Nobody asked: on such a connection no answer could be told from another.
                front.memberComplaints.add("a line that nobody asked for");
                drop();
                return;
            }
            String[] words = text.split(" ", 2);
            switch (words[0]) {
                case "PONG" -> answered(Outcome.OK, LoadReport.read(words.length > 1 ? words[1] : ""));
                case "ERR" -> answered(Outcome.ERROR, Report.NONE);
                default -> {
                    front.memberComplaints.add(
                            words[0].equals("NO") ? "a probe that is not allowed" : "another word than PONG or ERR");
                    over(Outcome.ERROR);
                }
            }
        }

        @Override
        public void drained(Link from) {}

        /** The member may have closed a kept connection just as it was used again: then one more is opened, once. */
        @Override
        public void broken(Link from) {
            link.close();
            if (asking && kept) {
                kept = false;
                link = null;
                splitter.rest();
                dial();
            } else {
                over(Outcome.RESET);
            }
        }
    }
}

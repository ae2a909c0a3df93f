package tulipshed.lineprotocol;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.StreamConnection;
import tulipshed.decision.BalancerApi.LoadReport;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.proxy.Endpoint;
import tulipshed.proxy.HealthChecker;
import tulipshed.transport.TcpConnection;
import tulipshed.transport.XnioEventLoop;

/**
 * Probes of members by {@code STATS}, on connections that are kept for the next probe, as opening one costs the member
 * more than the probe: one a member, closed when unused, bounded in number, each probe bounded in time.
 */
final class HealthCheckConnections implements HealthChecker {
    private static final byte[] STATS = "STATS\r\n".getBytes(StandardCharsets.US_ASCII);

    private final LineProtocolFrontend front;
    /** By member; the one used longest ago comes first. */
    private final Map<String, Probe> probes = new LinkedHashMap<>(16, 0.75f, true);

    private boolean leaving;

    HealthCheckConnections(LineProtocolFrontend front) {
        this.front = front;
    }

    @Override
    public void check(Endpoint endpoint) {
        Probe p = probes.get(endpoint.id());
        if (p != null && !p.asking && !p.address.equals(endpoint.address())) {
            p.drop();
            p = null;
        }
        if (p == null && !leaving && room()) {
            p = new Probe(endpoint);
            probes.put(endpoint.id(), p);
        }
        if (p == null) {
            front.core.healthCheckCompleted(endpoint.id(), Outcome.UNUSED, LoadReport.NONE);
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
        int most = front.limits.healthChecks().connections();
        if (probes.size() >= most) {
            probes.values().stream().filter(p -> !p.asking).findFirst().ifPresent(Probe::drop);
        }
        return probes.size() < most && front.loop.hasCapacityForUpstream();
    }

    /** Closes what was not used for long. */
    void sweep(double nowMs) {
        for (Probe p : new ArrayList<>(probes.values())) {
            if (!p.asking && nowMs >= p.usedMs + front.limits.healthChecks().idleTimeoutMs()) {
                p.drop();
            }
        }
    }

    /** One member's connection for probes, and the probe that is out on it. */
    private final class Probe implements TcpConnection.Listener {
        private final String member;
        private final InetSocketAddress address;
        private final CrlfDecoder splitter =
                new CrlfDecoder(front.limits.lineProtocol().lineBytes());
        private XnioEventLoop.PendingConnection dialing;
        private TcpConnection link;
        private boolean asking;
        private boolean kept;
        private int number;
        private double usedMs;

        Probe(Endpoint endpoint) {
            this.member = endpoint.id();
            this.address = endpoint.address();
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
            front.loop.schedule(front.limits.healthChecks().responseTimeoutMs(), () -> {
                if (asking && number == mine) {
                    over(link == null ? Outcome.CONNECT_FAILED : Outcome.TIMEOUT);
                }
            });
        }

        private void dial() {
            dialing = front.loop.connect(address, this::up, why -> over(Outcome.CONNECT_FAILED));
        }

        private void up(StreamConnection connection) {
            dialing = null;
            link = front.loop.register(connection, this);
            link.write(STATS);
            link.setReading(true);
        }

        private void answered(Outcome outcome, LoadReport report) {
            if (asking) {
                asking = false;
                front.core.healthCheckCompleted(member, outcome, report);
            }
        }

        private void over(Outcome outcome) {
            drop();
            answered(outcome, LoadReport.NONE);
        }

        void drop() {
            probes.remove(member, this);
            if (dialing != null) {
                dialing.abandon();
            }
            if (link != null) {
                link.close();
            }
        }

        @Override
        public void onReadable(TcpConnection from) {
            for (int reads = 0; reads < front.limits.sockets().maxReadsPerEvent() && !link.isClosed(); reads++) {
                front.scratch.clear();
                int n = link.read(front.scratch);
                if (n < 0) {
                    onBroken(from);
                }
                if (n <= 0) {
                    return;
                }
                take(front.scratch.flip());
            }
        }

        private void take(ByteBuffer in) {
            try {
                for (byte[] line = splitter.next(in); line != null && !link.isClosed(); line = splitter.next(in)) {
                    line(new String(line, StandardCharsets.ISO_8859_1).strip());
                }
            } catch (MalformedLineException e) {
                front.memberComplaints.record(e.getMessage());
                over(Outcome.ERROR);
            }
        }

        private void line(String text) {
            if (!asking) {
                // Nobody asked: on such a connection no answer could be told from another.
                front.memberComplaints.record("a line that nobody asked for");
                drop();
                return;
            }
            String[] words = text.split(" ", 2);
            switch (words[0]) {
                case "PONG" -> answered(Outcome.OK, LoadReportParser.parse(words.length > 1 ? words[1] : ""));
                case "ERR" -> answered(Outcome.ERROR, LoadReport.NONE);
                default -> {
                    front.memberComplaints.record(
                            words[0].equals("NO") ? "a probe that is not allowed" : "another word than PONG or ERR");
                    over(Outcome.ERROR);
                }
            }
        }

        @Override
        public void onWritten(TcpConnection from) {}

        /** The member may have closed a kept connection just as it was used again: then one more is opened, once. */
        @Override
        public void onBroken(TcpConnection from) {
            link.close();
            if (asking && kept) {
                kept = false;
                link = null;
                splitter.takePartialLine();
                dial();
            } else {
                over(Outcome.RESET);
            }
        }
    }
}

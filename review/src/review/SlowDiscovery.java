package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Discovery answers each call, but late; a server drains meanwhile. Does the node keep the drain? */
public final class SlowDiscovery {
    /** How late discovery answers: within the 2 s after its wait that the protocol page gives to a call. */
    private static final long LATE_MS = 1_800;
    /** A change counts as told at the latest so long after discovery had it. */
    private static final double TOLD_MS = 6_000;
    /** Rules.DrainGraceS of the configuration, and the 50 ms by which each time limit is longer on sockets. */
    private static final double GRACE_MS = 300 + 50;

    private SlowDiscovery() {}

    public static void main(String[] arguments) {
        Case.main(arguments, SlowDiscovery::play);
    }

    private static void play(Case of) throws Exception {
        List<Double> atDrained = Collections.synchronizedList(new ArrayList<>());
        SlotServer.Listener listener = (server, line, atMs) -> {
            if (server.id.equals("s-1")) {
                atDrained.add(atMs);
            }
        };
        Discovery discovery = new Discovery(of);
        List<SlotServer> servers = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            SlotServer server = new SlotServer(of, "s-" + i, listener);
            servers.add(server);
            discovery.publish(server.id, server.port(), "std-2c", "SERVING");
        }
        int port = Case.freeTcpPort();
        of.startNode(of.config(port, discovery.port(), discovery.version(), discovery.servers()), port);
        Thread clients = Case.daemon(() -> {
            for (int i = 0; ; i++) {
                int number = i;
                Case.daemon(() -> SlotClient.open(of, port, "c" + number, "slot-board", "melnik-terminal", 2000, 500));
                Case.sleep(200);
            }
        });
        Case.sleep(3_000);
        double slowMs = of.nowMs();
        if (of.trouble) {
            discovery.setLate(LATE_MS);
            of.log("from here on discovery answers each call " + LATE_MS + " ms late");
        }
        of.sleepUntil(slowMs + 8_000);
        servers.get(0).drain();
        discovery.publish("s-1", servers.get(0).port(), "std-2c", "DRAINING");
        double drainedMs = of.nowMs();
        double latestMs = drainedMs + TOLD_MS + GRACE_MS;
        of.sleepUntil(slowMs + 25_000);
        discovery.setLate(0);
        if (!clients.isAlive()) {
            throw new Case.Result(2, "the clients ended");
        }
        long late = atDrained.stream().filter(atMs -> atMs > latestMs).count();
        double last = atDrained.stream().mapToDouble(Double::doubleValue).max().orElse(Double.NaN);
        String figures = String.format(
                "s-1 drains in the list from %.0f; counts as told at %.0f at the latest; may be sent to until %.0f;"
                        + " sent to %d times after that, last %.0f ms after the drain",
                drainedMs, drainedMs + TOLD_MS, latestMs, late, last - drainedMs);
        throw new Case.Result(late > 0 ? 1 : 0, figures);
    }
}

package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A node is told that a server drains; discovery goes down; a new version of the node is started beside it. Does the node
 * keep the drain?
 */
public final class StaleUpgrade {
    /** After the new process's yes, discovery's news binds from here on. */
    private static final double BINDS_MS = 2_000;
    /** Rules.DrainGraceS of the configuration, and the 50 ms by which each time limit is longer on sockets. */
    private static final double GRACE_MS = 300 + 50;
    private static final long OUTAGE_MS = 20_000;

    private StaleUpgrade() {}

    public static void main(String[] arguments) {
        Case.main(arguments, StaleUpgrade::play);
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
        Process old = of.startNode(of.config(port, discovery.port(), discovery.version(), discovery.servers()), port);
        Case.daemon(() -> {
            for (int i = 0; ; i++) {
                int number = i;
                Case.daemon(() -> SlotClient.open(of, port, "c" + number, "slot-board", "melnik-terminal", 2000, 500));
                Case.sleep(200);
            }
        });
        Case.sleep(3_000);
        servers.get(0).drain();
        discovery.publish("s-1", servers.get(0).port(), "std-2c", "DRAINING");
        double drainedMs = of.nowMs();
        Case.sleep(3_000);
        double beforeUpgradeMs = of.nowMs();
        if (of.trouble) {
            discovery.setDown(true);
        }
        Case.sleep(1_000);
        int status = Case.freeTcpPort();
        of.log("run is started a second time");
        Process next = of.launch("new", "127.0.0.1:" + status);
        of.awaitReady(next, () -> Case.saysYes(status));
        double yesMs = of.nowMs();
        of.log("the new process says yes; the old one gets SIGTERM");
        old.destroy();
        of.sleepUntil(beforeUpgradeMs + OUTAGE_MS);
        discovery.setDown(false);
        double boundMs = yesMs + BINDS_MS + GRACE_MS;
        long early = atDrained.stream()
                .filter(atMs -> atMs > drainedMs + GRACE_MS && atMs < beforeUpgradeMs)
                .count();
        long late = atDrained.stream().filter(atMs -> atMs > boundMs).count();
        String figures = String.format(
                "the node was told at %.0f that s-1 drains, and sent it %d more before the upgrade; the new process said yes"
                        + " at %.0f; news binds it from %.0f, grace ends at %.0f; s-1 was sent to %d times after that",
                drainedMs, early, yesMs, yesMs + BINDS_MS, boundMs, late);
        throw new Case.Result(late > 0 ? 1 : 0, figures);
    }
}

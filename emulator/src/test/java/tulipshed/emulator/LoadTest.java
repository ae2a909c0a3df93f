package tulipshed.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import tulipshed.emulator.invariants.Invariant;
import tulipshed.emulator.loadtest.LoadTestRun;
import tulipshed.emulator.loadtest.NodeCommand;
import tulipshed.emulator.loadtest.NodeUsage;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.scenario.Scenario;

/** Real nodes in an emulated world. */
class LoadTest {
    private static final NodeCommand NODE = NodeCommand.ofDeployment(Path.of("../deploy/balancer.toml"));
    private static final String DAY = "(seconds 8)(settle-s 1)(nodes (count 2)(restart-ms 300))"
            + "(members std (count 4)(cores 2))(class c (deadline-ms 30000)(life-s 4)(load 0.02)(message-aim-ms 1000))"
            + "(clients (per-second 12)(standing 40)(come-at-first 1)(groups 4))(discovery (lag-ms 100)(calls-per-s 1000))"
            + "(member-model (drain-ms 500)(restart-ms 300)(warm-ms 500)(message-ms 1))"
            + "(trouble deploy-members (at-s 2)(share 0.5)(over-s 1))(trouble crash-members (at-s 4)(share 0.75))"
            + "(trouble kill-nodes (at-s 5)(count 1))";

    /** What the checkers see is what was on the wire: of drains, crashes and a killed node. */
    @Test
    void aRealNodeKeepsTheRulesThroughDrainsCrashesAndAKill() throws Exception {
        Assumptions.assumeTrue(Files.exists(NODE.jar()), "the node's jar is made by package");
        Scenario s = Worlds.text(DAY);
        try (LoadTestRun run = new LoadTestRun(s, 4, NODE)) {
            RunResult o = run.run();
            assertTrue(o.rules().checkCount() > 150, "" + o.rules().checkCount());
            for (Invariant r : new Invariant[] {
                Invariant.EXACTLY_ONE_ANSWER, Invariant.ONE_ATTEMPT_AT_A_TIME, Invariant.NO_ATTEMPT_AFTER_DRAIN_GRACE
            }) {
                assertEquals(0, o.rules().violations(r), () -> "" + o.rules());
            }
            assertEquals(0, run.unknownFirstLines().count(), "nothing came that no client had sent");
            assertTrue(o.figure("resets") > 0 && o.figure("moves") > 0, () -> "" + o.figures());
            assertTrue(o.figure("service") > 0.5, () -> "" + o.figures());
            assertUsage(run.usage());
        }
    }

    private static void assertUsage(List<NodeUsage> nodes) {
        assertEquals(2, nodes.size());
        long requests = 0;
        for (NodeUsage node : nodes) {
            requests += node.requests();
            assertTrue(node.cpuSeconds() > 0.1 && node.listBytes() > 200, () -> "" + node);
            assertTrue(node.endpointConnections() >= node.served(), () -> "" + node);
            assertTrue(node.served() > 20 && node.served() <= node.requests(), () -> "" + node);
        }
        assertTrue(requests > 100, () -> "" + nodes);
    }

    @Test
    void whatSocketsCannotDoIsSaidAtOnce() {
        for (String[] too : new String[][] {
            {"nodes.count=17"},
            {"members.std.count=3201"},
            {"clients.standing=6000"},
            {"seconds=601"},
            {"clients.come-at-first=0"}
        }) {
            Scenario s = Worlds.text(DAY, too);
            assertThrows(IllegalArgumentException.class, () -> new LoadTestRun(s, 1, NODE).close(), too[0]);
        }
        Scenario clocks = Worlds.text(DAY + "(trouble node-clocks (share 0.5)(factor 7200))");
        assertThrows(IllegalArgumentException.class, () -> new LoadTestRun(clocks, 1, NODE).close(), "node-clocks");
    }
}

package tulipshed.emulator.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.emulator.loadtest.NodeCommand;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.ScenarioReader;

/** Real processes under faults, and stand-ins whose faults the checkers find. */
class TrialTest {
    private static final NodeCommand NODE = NodeCommand.ofDeployment(Path.of("../deploy/balancer.toml"));
    private static final String FLEET = "(settle-s 1)(network (sites 2)(within-ms 0.5)(between-ms 2))"
            + "(members std (count 6)(cores 4))(class c (deadline-ms 1800)(aim-ms 300)(life-s 5)(load 0.02)(message-aim-ms 100))"
            + "(clients (per-second 12)(standing 40)(come-at-first 1)(groups 6)(give-up-share 0))"
            + "(discovery (lag-ms 100)(calls-per-s 1000))(member-model (drain-ms 2500)(restart-ms 300)(warm-ms 500)(message-ms 1))";
    private static final FaultInjectionResult.Bounds BOUNDS = new FaultInjectionResult.Bounds(2.5, 4000, 0.8);

    private static final int MAX_PLAYS = 3;
    private static final String SIGNALS =
            "(trouble signal-nodes (at-s 4)(over-s 3)(count 4))(trouble signal-nodes (at-s 12)(over-s 3)(count 4))";

    @TempDir
    private Path folder;

    private static Scenario scenario(String more, String... set) {
        Map<String, String> figures = new LinkedHashMap<>();
        for (String s : set) {
            figures.put(s.substring(0, s.indexOf('=')), s.substring(s.indexOf('=') + 1));
        }
        return ScenarioReader.read("t", (FLEET + more).getBytes(StandardCharsets.UTF_8), new Overrides(figures));
    }

    private static FaultInjectionResult play(String more, NodeCommand node, String... set)
            throws IOException, InterruptedException {
        try (FaultInjectionRun trial = new FaultInjectionRun(scenario(more, set), 4, node)) {
            return trial.play(BOUNDS);
        }
    }

    /**
     * Plays until a run is valid: one in which the tool itself was too slow says nothing of the node. The output of the
     * build says how many were void; where all are, the test fails.
     */
    private static FaultInjectionResult playUntilValid(String more, NodeCommand node, String... set)
            throws IOException, InterruptedException {
        List<List<String>> voids = new ArrayList<>();
        while (voids.size() < MAX_PLAYS) {
            FaultInjectionResult result = play(more, node, set);
            if (result.voids().isEmpty()) {
                System.out.println("fault-injection runs that were void: " + voids.size() + " " + voids);
                return result;
            }
            voids.add(result.voids());
        }
        return fail("void in every play: " + voids);
    }

    /** Four processes: a site is cut off, links between single nodes and members hold one way, one node stands still. */
    @Test
    void theNodeKeepsTheRulesWhileLinksFail() throws Exception {
        Assumptions.assumeTrue(Files.exists(NODE.jar()), "the node's jar is made by package");
        FaultInjectionResult v = playUntilValid(
                "(seconds 19)(nodes (count 4))(trouble partition (at-s 3)(over-s 2)(count 1))"
                        + "(trouble cut-links (at-s 6)(over-s 2)(share 0.3)(count 1))(trouble cut-links (at-s 8)(over-s 1)(share 0.3)(count 2))"
                        + "(trouble stop-nodes (at-s 9)(over-s 2)(share 0.25))(trouble reset-links (at-s 10)(share 0.5)(count 1))"
                        + "(trouble deploy-members (at-s 4)(share 0.3)(over-s 2))",
                NODE);
        assertEquals(List.of(), v.breaches(), v::toString);
        assertTrue(
                v.outcome().rules().checkCount() > 300, () -> "" + v.outcome().rules());
    }

    /** A node that does not ask its agent lives on the list of its start, and sends to what has long been drained. */
    @Test
    void whereListsArePushedTheNodeKeepsToThemThroughDarkTimesAndMuteLinks() throws Exception {
        Assumptions.assumeTrue(Files.exists(NODE.jar()), "the node's jar is made by package");
        FaultInjectionResult v = playUntilValid(
                "(seconds 16)(nodes (count 3))(trouble deploy-members (at-s 3)(share 0.5)(over-s 3))"
                        + "(trouble dark-list (at-s 4)(over-s 2))(trouble mute-discovery (at-s 7)(over-s 2)(share 0.5))"
                        + "(trouble remove-members (at-s 7)(share 0.3)(over-s 2))",
                NODE,
                "discovery.pushed=1",
                "member-model.drain-grace-ms=2500");
        assertEquals(List.of(), v.breaches(), v::toString);
        assertTrue(
                v.outcome().figure("moves") > 0,
                () -> "nobody was moved off a drained member: " + v.outcome().figures());
    }

    /** Each node is shut down and killed at the platform's earliest, with signals in series, while its clients go on. */
    @Test
    @Tag("known-red")
    void theNodeKeepsTheRulesThroughSignalsInSeriesAndEarliestKills() throws Exception {
        Assumptions.assumeTrue(Files.exists(NODE.jar()), "the node's jar is made by package");
        FaultInjectionResult result = playUntilValid("(seconds 24)(nodes (count 4)(restart-ms 300))" + SIGNALS, NODE);
        assertEquals(List.of(), result.breaches(), result::toString);
    }

    /** A process that ends at SIGTERM without a word to its clients is found. */
    @Test
    void aNodeThatCutsItsConnectionsOffAsItEndsIsFound() throws Exception {
        Path jar = StandInNode.jar(folder, "sound");
        List<String> breaches = play("(seconds 12)(nodes (count 2))" + SIGNALS, NODE.withJar(jar))
                .breaches();
        assertTrue(breaches.stream().anyMatch(b -> b.contains("connections lost in a shutdown")), breaches::toString);
    }

    /** Each stand-in has one fault; its checker finds it, and no other of the rules is found broken. */
    @Test
    void checkersFindTheFaultsOfStandIns() throws Exception {
        Map<String, String> faults = new LinkedHashMap<>();
        faults.put("sound", null);
        faults.put("second-answer-after-refusal", "one-answer");
        faults.put("refuses-connections", "one-answer");
        faults.put("silent-at-the-end", "one-answer");
        faults.put("silence", "one-answer");
        faults.put("second-answer", "one-answer");
        faults.put("late-answer", "one-answer");
        faults.put("two-flows", "one-flow");
        faults.put("keeps-drained", "drain");
        faults.put("crashes", "ended by itself");
        faults.put("strange-line", "no client had sent");
        faults.put("retries-without-bound", "attempts an asking");
        assertFound(
                faults,
                "(trouble slow-links (at-s 2)(over-s 1)(share 0.5)(factor 10))(trouble deploy-members (at-s 3)(share 0.5)(over-s 1))");
    }

    /** What a process owed while it was stopped is owed when it goes on: one that answers then is sound. */
    @Test
    void aStoppedProcessStillOwesItsAnswers() throws Exception {
        Map<String, String> faults = new LinkedHashMap<>();
        faults.put("sound", null);
        faults.put("forgets-when-stopped", "one-answer");
        assertFound(faults, "(trouble stop-nodes (at-s 3)(over-s 1.5)(share 1))");
    }

    /** Each fault's checker is found, and no other rule broken; a sound stand-in has no breach. */
    private void assertFound(Map<String, String> faults, String troubles) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(3);
        try {
            Map<String, Future<FaultInjectionResult>> verdicts = new LinkedHashMap<>();
            for (String fault : faults.keySet()) {
                Path jar = StandInNode.jar(folder, fault);
                verdicts.put(
                        fault, pool.submit(() -> play("(seconds 9)(nodes (count 2))" + troubles, NODE.withJar(jar))));
            }
            for (Map.Entry<String, String> f : faults.entrySet()) {
                List<String> breaches = verdicts.get(f.getKey()).get().breaches();
                if (f.getValue() == null) {
                    assertEquals(List.of(), breaches);
                } else {
                    assertTrue(breaches.stream().anyMatch(b -> b.contains(f.getValue())), f.getKey() + ": " + breaches);
                    // A process that ends by itself also leaves askings without an answer.
                    assertTrue(
                            f.getKey().equals("crashes")
                                    || breaches.stream()
                                            .filter(b -> b.startsWith("rule"))
                                            .allMatch(b -> b.contains(f.getValue())),
                            f.getKey() + " alone: " + breaches);
                }
            }
        } finally {
            pool.shutdownNow();
        }
    }

    /** Seen in two trials side by side: both had been given one port, and each one's clients came to the other's nodes. */
    @Test
    void trialsSideBySideAreGivenNoAddressTwice() throws Exception {
        List<FaultInjectionRun> trials = new ArrayList<>();
        try {
            Set<String> addresses = new HashSet<>();
            for (int i = 0; i < 20; i++) {
                trials.add(new FaultInjectionRun(scenario("(seconds 9)(nodes (count 16))"), i, NODE));
                addresses.addAll(trials.get(i).nodes());
            }
            assertEquals(320, addresses.size());
        } finally {
            for (FaultInjectionRun t : trials) {
                t.close();
            }
        }
    }

    @Test
    void aBreachFailsAVoidRunToo() {
        FaultInjectionResult breached =
                new FaultInjectionResult(List.of("a breach"), List.of("late"), List.of(), List.of(), null, 0, 0, 1);
        FaultInjectionResult empty =
                new FaultInjectionResult(List.of(), List.of("late"), List.of(), List.of(), null, 0, 0, -1);
        assertTrue(breached.failed() && !breached.passed());
        assertTrue(!empty.failed() && !empty.passed());
    }

    @Test
    void theMeanIsOverWholeSecondsAndNothingElse() {
        List<Double> served = List.of(Double.NaN, 0.5, 1.0, 0.0, 1.0);
        assertEquals(0.5, FaultInjectionEvaluation.mean(served, 0, 4000), 1e-12);
        assertEquals(1.0, FaultInjectionEvaluation.mean(served, 1500, 3999), 1e-12);
        assertTrue(Double.isNaN(FaultInjectionEvaluation.mean(served, 4500, 4900)));
    }
}

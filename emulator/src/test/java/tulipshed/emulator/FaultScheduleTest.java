package tulipshed.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import tulipshed.emulator.invariants.Invariant;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.model.World;

/** Each trouble does to the world what it says, and no more. */
class FaultScheduleTest {
    private static final String SITE = "(seconds 30) (network (sites 3)) (nodes (count 6)) (members m (count 9))"
            + "(clients (per-second 12) (standing 90)) (class c (deadline-ms 3000) (life-s 10) (load 0.02))";

    private static RunResult run(String trouble) {
        return Worlds.run(Worlds.text(SITE + trouble, "policy=core"), 2);
    }

    private static List<String> told(String trouble, double from, double to, Predicate<String> which) {
        List<String> lines = new ArrayList<>();
        World w = new World(Worlds.text(SITE + trouble, "policy=core"), 2, 1);
        w.tellBetween(from, to, l -> {
            if (which.test(l)) {
                lines.add(l);
            }
        });
        w.runUntil(to + 1);
        return lines;
    }

    /** Calls to an agent are free and fail nobody; what it does not learn while it is dark it tells at its return. */
    @Test
    void wherePushedListsAreDarkNodesHearOfAllAtItsReturn() {
        String day = "(discovery (pushed 1) (lag-ms 100)) (trouble dark-list (at-s 10) (over-s 4))"
                + " (trouble remove-members (at-s 11) (share 0.3) (over-s 1))";
        Predicate<String> news = l -> l.contains("list, CHANGES: [");
        assertEquals(List.of(), told(day, 10_500, 13_990, l -> news.test(l) && !l.contains("[]")));
        assertEquals(
                6,
                told(day, 13_990, 14_200, l -> news.test(l) && l.contains("DRAINING")).stream()
                        .map(l -> l.replaceAll(".*ms  (n-\\d+):.*", "$1"))
                        .distinct()
                        .count(),
                "all nodes, without having asked again");
        RunResult o = run(day);
        assertEquals(0, o.figure("list_calls_failed"));
        assertEquals(0, o.rules().violations(Invariant.NO_ATTEMPT_AFTER_DRAIN_GRACE), () -> "" + o.rules());
    }

    /** Before, a node outside went on reaching members inside a site that was cut off. */
    @Test
    void aCutHoldsInBothDirections() {
        String cut = "(trouble partition (at-s 10) (over-s 6) (count 1))";
        // Nodes 0, 2, 3, 5 and members 0, 2, 3, 5, 6, 8 are outside of site 1, which is nodes and members 1, 4, 7.
        Predicate<String> across = l -> l.contains("served by")
                && (l.matches(".*n-[0235]/.*m-[147] .*") || l.matches(".*n-[14]/.*m-[023568] .*"));
        assertEquals(List.of(), told(cut, 10_020, 16_000, across));
        assertFalse(told(cut, 16_000, 22_000, across).isEmpty(), "the way is back");
        assertFalse(told(cut, 4_000, 10_000, across).isEmpty());
        RunResult o = run(cut);
        assertEquals(0, o.rules().violations(), () -> "" + o.rules());
        assertTrue(o.figure("resets") > 5);
    }

    @Test
    void lostSpoiltAndResetAnswersAreAskedForAgainUnderTheRules() {
        double usual = run("").figure("attempts_per_ask");
        for (String t : List.of("lose-answers", "spoil-answers", "reset-requests")) {
            RunResult o = run("(trouble " + t + " (at-s 5) (over-s 20) (share 0.3))");
            assertEquals(0, o.rules().violations(), () -> t + o.rules());
            assertTrue(o.figure("attempts_per_ask") > usual + 0.05, t);
            assertTrue(o.figure("service") > 0.6, t);
        }
        List<String> spoilt = told(
                "(trouble spoil-answers (at-s 5) (over-s 20) (share 1))", 5_500, 9_000, l -> l.contains("served by"));
        assertEquals(List.of(), spoilt, "nothing is served that no member made");
    }

    @Test
    void nodesAreRestartedStepByStepAndAskDiscoveryAnewAfterAReload() {
        Predicate<String> ends = l -> l.contains("the process ends");
        String roll = "(nodes (leave-ms 500) (restart-ms 400)) (trouble roll-nodes (at-s 5) (over-s 9) (count 3))";
        String site = SITE.replace("(nodes (count 6))", "(nodes (count 6) (leave-ms 500) (restart-ms 400))");
        List<String> lines = new ArrayList<>();
        World w = new World(Worlds.text(site + roll.substring(roll.indexOf("(trouble")), "policy=core"), 2, 1);
        w.tellBetween(0, 20_000, l -> {
            if (ends.test(l)) {
                lines.add(l.strip().substring(0, 2));
            }
        });
        w.runUntil(20_000);
        assertEquals(List.of("55", "55", "85", "85", "11", "11"), lines, "two nodes at each of three steps");
        List<String> lists =
                told("(trouble reload (at-s 8) (over-s 1))", 7_000, 12_000, l -> l.contains("list, COMPLETE"));
        assertEquals(6, lists.size(), "each node once");
    }

    @Test
    void aListIsLateForAWhileAndNeverOutOfOrder() {
        String late =
                "(discovery (lag-ms 500)) (trouble remove-members (at-s 9) (share 0.3)) (trouble late-list (at-s 8) (over-s 10) (factor 3))";
        assertEquals(List.of(), told(late, 9_000, 12_400, l -> l.contains("DRAINING")));
        assertFalse(told(late, 12_400, 13_500, l -> l.contains("DRAINING")).isEmpty());
        assertEquals(0, run(late).rules().violations());
    }

    @Test
    void aZoneIsLostAndBackColdAndSilentMembersAreNot() {
        RunResult zone = run("(trouble lose-zone (at-s 8) (over-s 5) (count 2))");
        assertEquals(0, zone.rules().violations(), () -> "" + zone.rules());
        assertTrue(Float.isNaN(zone.loads()[2][10]) && Float.isNaN(zone.loads()[8][10]) && zone.loads()[1][10] >= 0);
        assertTrue(zone.loads()[2][15] >= 0, "back");
        RunResult silent = run("(trouble silence-members (at-s 8) (over-s 5) (share 0.3))");
        assertEquals(0, silent.rules().violations(), () -> "" + silent.rules());
        assertTrue(silent.loads()[2][10] >= 0, "its process runs on");
        assertTrue(silent.figure("resets") > 10);
    }

    @Test
    void failingMembersAndEarlyClientsAndShiftsOfTrafficAreFelt() {
        assertTrue(run("(trouble failing-members (at-s 1) (over-s 28) (share 0.3) (factor 1))")
                        .figure("attempts_per_ask")
                > 1.1);
        assertTrue(
                run("(trouble early-clients (at-s 1) (over-s 28) (share 0.9))").figure("left")
                        > 3 * run("").figure("left"));
        Predicate<String> atSite = l -> l.matches(".*n-[14]/.*a client asks, try 1, .*");
        int usual = told("", 5_000, 25_000, atSite).size();
        int shifted = told("(trouble shift (at-s 5) (over-s 20) (factor 2) (count 1))", 5_000, 25_000, atSite)
                .size();
        assertTrue(shifted > 1.5 * usual && shifted < 2.6 * usual, shifted + " beside " + usual);
    }

    private static long broken(Invariant rule, String policy, String text) {
        return Worlds.run(Worlds.text(text, "policy=" + policy), 2).rules().violations(rule);
    }

    /** Before, a process that was asked to leave owed nothing once it ended. */
    @Test
    void aNodeThatLeavesOwesAnAnswerToAllThatAreLeft() {
        String day = SITE.replace("(nodes (count 6))", "(nodes (count 6) (leave-ms 300) (restart-ms 400))")
                + "(trouble lose-answers (at-s 5) (over-s 20) (share 1))"
                + "(trouble roll-nodes (at-s 8) (over-s 9) (count 3))";
        assertEquals(0, broken(Invariant.EXACTLY_ONE_ANSWER, "core", day));
        assertEquals(0, broken(Invariant.EXACTLY_ONE_ANSWER, "least-of-two", day));
        assertTrue(broken(Invariant.EXACTLY_ONE_ANSWER, "core-no-last-answers", day) > 5);
    }

    /** Before, an answer that was due after the day's end was owed to nobody. */
    @Test
    void whatIsAskedOnTheLastSecondsOfADayIsWaitedFor() {
        String day = "(seconds 6) (nodes (count 2)) (members m (count 1)) (clients (per-second 60))"
                + "(class c (deadline-ms 9000) (life-s 20) (load 0.3))";
        assertEquals(0, broken(Invariant.EXACTLY_ONE_ANSWER, "core", day));
        assertTrue(broken(Invariant.EXACTLY_ONE_ANSWER, "core-silence", day) > 0);
    }

    /** The grace of a drain has to cover a hold-up: the whole of it by the node's own clock is too long. */
    @Test
    void aNodeThatIsHeldUpWritesLaterThanItsClockSays() {
        String drains = "(trouble deploy-members (at-s 5) (over-s 15) (share 0.9))";
        String heldUp = "(trouble hold-up-nodes (at-s 3) (over-s 25) (share 1))";
        assertEquals(0, broken(Invariant.NO_ATTEMPT_AFTER_DRAIN_GRACE, "core-whole-grace", SITE + drains));
        assertTrue(broken(Invariant.NO_ATTEMPT_AFTER_DRAIN_GRACE, "core-whole-grace", SITE + drains + heldUp) > 0);
        RunResult core = run(drains + heldUp);
        assertEquals(0, core.rules().violations(), () -> "" + core.rules());
        List<String> turns = told(heldUp, 3_000, 28_000, l -> l.contains("is held up until"));
        assertTrue(turns.size() > 6 * 5 && turns.size() < 6 * 25, turns.size() + " turns of 6 nodes in 25 s");
    }

    /** Both processes decide for a while, and the older one's clients come again. */
    @Test
    void aHotRestartHandsOverToAnotherProcess() {
        String day = "(trouble hot-restart-nodes (at-s 8) (share 1) (over-s 2))";
        assertEquals(6, told(day, 7_000, 11_000, l -> l.contains("hands over")).size());
        for (String policy : List.of("core", "module")) {
            RunResult o = Worlds.run(Worlds.text(SITE + day, "policy=" + policy), 2);
            assertEquals(0, o.rules().violations(), () -> policy + " " + o.rules());
            assertTrue(o.figure("moves") > run("").figure("moves") + 50, policy + " " + o.figure("moves"));
        }
    }

    /** What is told anew are the starts that the lists tell; members that have run for long have none. */
    @Test
    void clocksThatStepTellStartsAnew() {
        String day = "(trouble deploy-members (at-s 2) (share 0.4) (over-s 0.1))"
                + "(trouble clocks-ahead (at-s 15) (share 1) (factor 3600))";
        Predicate<String> news = l -> l.contains("n-0: list, CHANGES") && l.contains("SERVING");
        assertEquals(4, told(day, 15_900, 16_500, news).size());
        assertEquals(0, told(day, 12_000, 15_900, news).size());
        assertEquals(0, run(day).rules().violations());
    }
}

package tulipshed.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.emulator.invariants.Invariant;
import tulipshed.emulator.invariants.InvariantReport;
import tulipshed.emulator.invariants.NodeInvariants;
import tulipshed.emulator.invariants.SlowStartInvariant;
import tulipshed.emulator.model.RunResult;

/** The checkers see every breach that is made on purpose, and none where none is. */
class RulesTest {
    private final InvariantReport report = new InvariantReport();
    private final NodeInvariants rules = new NodeInvariants(1, report, 20, 300);

    @Test
    void aNodeThatKeepsTheRulesIsNotAccused() {
        var w = rules.requestArrived(0, 1, 1000);
        rules.attemptStarted(1, w, 7);
        rules.attemptEnded(50, w, "RESET");
        rules.endpointNotified(60, 7, false);
        rules.attemptStarted(300, w, 7);
        rules.attemptEnded(310, w, "RESET");
        rules.attemptStarted(900, w, 8);
        rules.answered(1015, w, "served");
        rules.waitEnded(1021, w);
        assertEquals(0, report.violations());
        assertEquals(4, report.checkCount());
    }

    @Test
    void everyBreachIsSeenWithWhatLedToIt() {
        var twice = rules.requestArrived(0, 1, 1000);
        rules.attemptStarted(1, twice, 7);
        rules.attemptStarted(2, twice, 8);
        assertEquals(1, report.violations(Invariant.ONE_ATTEMPT_AT_A_TIME));
        assertTrue(report.firstViolation(Invariant.ONE_ATTEMPT_AT_A_TIME)
                .what()
                .endsWith("a second flow out; 0.0 asked until 1000, 1.0 sent to 7, 2.0 sent to 8"));
        rules.answered(3, twice, "refused");
        rules.answered(4, twice, "failed");
        assertEquals(1, report.violations(Invariant.EXACTLY_ONE_ANSWER));
        var late = rules.requestArrived(0, 2, 1000);
        rules.answered(1021, late, "refused");
        assertEquals(1, report.violations(Invariant.ANSWER_IN_TIME));
        var never = rules.requestArrived(0, 3, 1000);
        rules.waitEnded(1021, never);
        assertEquals(2, report.violations(Invariant.EXACTLY_ONE_ANSWER));
        rules.endpointNotified(2000, 9, false);
        rules.endpointNotified(2200, 9, false);
        var drained = rules.requestArrived(2100, 4, 5000);
        rules.attemptStarted(2301, drained, 9);
        assertEquals(1, report.violations(Invariant.NO_ATTEMPT_AFTER_DRAIN_GRACE), "the first news counts");
        var left = rules.requestArrived(0, 5, 1000);
        rules.clientLeft(left);
        rules.attemptStarted(10, left, 7);
        assertEquals(2, report.violations(Invariant.ONE_ATTEMPT_AT_A_TIME), "nobody waits for it");
    }

    @Test
    void aColdMemberFallsBeyondItsBoundAndAsABreachOnlyFromNodesThatKnew() {
        SlowStartInvariant known = new SlowStartInvariant(3, 4, 1500, 0);
        double able = 0.001; // a millisecond
        for (int ms = 0; ms < 1500; ms += 10) {
            known.workArrived(10_000 + ms, 0.039, able, true);
            assertFalse(known.isExceeded() && ms > 1000, "just under four times at " + ms);
        }
        for (int ms = 1500; ms < 3000; ms += 10) {
            known.workArrived(10_000 + ms, 0.043, able, true);
        }
        assertTrue(known.isExceeded());
        known.endpointFailed(13_000, report, 3000);
        assertEquals(1, report.violations(Invariant.SLOW_START_LIMIT));
        SlowStartInvariant unknown = new SlowStartInvariant(3, 4, 1500, 0);
        unknown.workArrived(10_000, 100, able, false);
        unknown.workArrived(10_001, 49, able, true);
        unknown.endpointFailed(10_002, report, 2);
        assertEquals(1, report.violations(Invariant.SLOW_START_LIMIT), "most came from nodes that could not know");
        unknown.processRestarted();
        unknown.workArrived(10_003, 0, able, true);
        assertFalse(unknown.isExceeded());
    }

    /** Beyond a budget of N requests 2 x root of N + 2 are chance, and three at most, which was the older bound. */
    @ParameterizedTest
    @CsvSource({"0.01, 2.21", "0.09, 2.69", "0.16, 2.96", "0.25, 3.25", "1, 4", "9, 12"})
    void chanceBeyondTheBudgetOfAColdMemberIsBounded(double budget, double bound) {
        for (double request : new double[] {1, 0.02}) {
            SlowStartInvariant rule = new SlowStartInvariant(3, 4, 1500, request);
            double able = budget * request / 4 / 1500;
            rule.workArrived(10_000, 0, able, true);
            rule.workArrived(11_490, 0.99 * bound * request, able, true);
            assertFalse(rule.isExceeded(), budget + " and " + bound);
            rule.workArrived(11_490, 0.02 * bound * request, able, true);
            assertTrue(rule.isExceeded(), budget + " and " + bound);
        }
    }

    /** The operators leave 3 x root of N + 3 to chance under 30 requests, and 2 x root of N + 2 from there on. */
    @ParameterizedTest
    @CsvSource({"0.25, 4.75", "9, 21", "25, 43", "30, 42.9545", "100, 122"})
    void strainOfSlowStartIsToldByTheOperatorsFormula(double budget, double bound) {
        for (double request : new double[] {1, 0.02}) {
            SlowStartInvariant rule = new SlowStartInvariant(3, 4, 1500, request);
            SlowStartInvariant untold = new SlowStartInvariant(3, 4, 1500, request);
            double able = budget * request / 4 / 1500;
            rule.workArrived(10_000, bound * request, able, true);
            untold.workArrived(10_000, bound * request, able, false);
            assertEquals(1, rule.notifiedStrain(), 1e-4);
            assertTrue(rule.isExceeded(), "the rule here is stricter");
            assertEquals(0, untold.notifiedStrain());
        }
    }

    /** Before, what lay between a thirtieth less and the whole of the window apart was not added up. */
    @Test
    void theWindowOfAColdMemberIsCountedToItsEndAndAtTheCapacityThatItHad() {
        SlowStartInvariant rule = new SlowStartInvariant(3, 4, 1500, 0);
        rule.workArrived(10_049, 5, 0.001, true);
        rule.workArrived(10_799, 3, 0.0015, true);
        rule.workArrived(11_549, 3, 0.002, true);
        assertEquals(11 / (4 * 750 * 0.0035), rule.strain(), 1e-9);
        assertTrue(rule.isExceeded(), "at its present capacity it would not");
        rule.workArrived(11_550, 0, 0.002, true);
        assertEquals(6 / (4 * (749 * 0.0015 + 751 * 0.002)), rule.strain(), 1e-6, "the first is out of the window");
    }

    @Test
    void aConnectionClosedWithNoAnswerIsLostUnlessItsClientLeft() {
        var closed = rules.requestArrived(0, 1, 1000);
        rules.connectionClosed(10, closed);
        rules.waitEnded(1501, closed);
        assertEquals(1, report.violations(Invariant.EXACTLY_ONE_ANSWER), "once");
        var left = rules.requestArrived(0, 2, 1000);
        rules.clientLeft(left);
        rules.connectionClosed(10, left);
        var answered = rules.requestArrived(0, 3, 1000);
        rules.answered(9, answered, "failed");
        rules.connectionClosed(10, answered);
        assertEquals(1, report.violations());
    }

    /** A hold-up makes answers later, and nothing else. */
    @Test
    void aNodeThatIsHeldUpMayAnswerSoMuchLaterAndStillMustNotSendToADrainedMember() {
        rules.allowStall(5000, 150);
        rules.answered(1165, rules.requestArrived(0, 1, 1000), "served");
        assertEquals(0, report.violations());
        rules.answered(1171, rules.requestArrived(0, 2, 1000), "served");
        rules.answered(6021, rules.requestArrived(5500, 3, 6000), "served");
        assertEquals(2, report.violations(Invariant.ANSWER_IN_TIME));
        rules.endpointNotified(2000, 7, false);
        rules.attemptStarted(2301, rules.requestArrived(2100, 4, 4000), 7);
        assertEquals(1, report.violations(Invariant.NO_ATTEMPT_AFTER_DRAIN_GRACE));
    }

    /** The module and the whole core keep answers, flows and drains through every kind of trouble. */
    @ParameterizedTest
    @CsvSource({
        "calm, module",
        "herd, module",
        "herd, core",
        "deploy, module",
        "deploy, core",
        "dark-list, module",
        "dark-list, core",
        "burst, module",
        "burst, core",
        "trouble, module",
        "trouble, core"
    })
    void nodesKeepTheRules(String scenario, String policy) {
        for (long seed = 1; seed <= 3; seed++) {
            RunResult o = Worlds.run(Worlds.file(scenario, "policy=" + policy), seed);
            assertTrue(o.rules().checkCount() > 200);
            for (Invariant r : new Invariant[] {
                Invariant.EXACTLY_ONE_ANSWER,
                Invariant.ANSWER_IN_TIME,
                Invariant.ONE_ATTEMPT_AT_A_TIME,
                Invariant.NO_ATTEMPT_AFTER_DRAIN_GRACE
            }) {
                assertEquals(0, o.rules().violations(r), () -> "" + o.rules());
            }
        }
    }

    @Test
    void whatIgnoresColdMembersPushesThemOverHere() {
        assertTrue(
                Worlds.run(Worlds.file("herd", "policy=peak-ewma"), 1).rules().violations(Invariant.SLOW_START_LIMIT)
                        > 3);
        assertEquals(
                0, Worlds.run(Worlds.file("herd", "policy=module"), 1).rules().violations(Invariant.SLOW_START_LIMIT));
    }

    /** Before, a single heavy connection pushed a cold member over, and nobody could have known. */
    @Test
    void aColdMemberCountsConnectionsAndNotWhatEachWillAskFor() {
        String text = "(seconds 30) (nodes (count 3)) (members m (count 6)) (class c (life-s 40) (load 0.05))"
                + "(clients (per-second 4) (standing 60) (load-spread 2)) (trouble crash-members (at-s 8) (share 0.5))"
                + "(trouble add-members (at-s 9) (share 0.5))";
        for (long seed = 1; seed <= 4; seed++) {
            assertTrue(Worlds.run(Worlds.text(text), seed).figure("cold_strain") < 0.8, "seed " + seed);
        }
    }
}

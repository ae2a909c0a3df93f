package tulipshed.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.emulator.acceptance.AcceptanceResult;
import tulipshed.emulator.acceptance.AcceptanceRunner;
import tulipshed.emulator.acceptance.ScenarioGenerator;
import tulipshed.emulator.acceptance.ScenarioKind;
import tulipshed.emulator.cli.EmulatorMain;
import tulipshed.emulator.invariants.InvariantReport;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.scenario.Scenario;

/** The standing test in its small form, and proof that it can fail. */
class AcceptanceRunnerTest {
    private static final ScenarioGenerator.Size SMALL = new ScenarioGenerator.Size(14, 16);
    /** Rules that something was held to, and that were kept. */
    private static final InvariantReport KEPT =
            Worlds.run(Worlds.file("calm", "seconds=5"), 1).rules();

    private static String gate(int code, String... more) {
        List<String> args = new ArrayList<>(List.of("gate", "--nodes", "14", "--members", "16"));
        args.addAll(List.of(more));
        StringWriter out = new StringWriter();
        assertEquals(
                code,
                EmulatorMain.commandLine()
                        .setOut(new PrintWriter(out, true))
                        .setErr(new PrintWriter(out, true))
                        .execute(args.toArray(new String[0])),
                out::toString);
        return out.toString();
    }

    @Test
    void theNodePassesTheSmallForm() {
        String told = gate(0);
        assertTrue(told.endsWith("gate passed" + System.lineSeparator()), told);
        assertTrue(told.contains("12 days in "), told);
    }

    /** Each fault is put in on purpose, now and then, around the real core; each is found as what it is. */
    @ParameterizedTest
    @CsvSource({
        "late-answer, in-time, join",
        "second-answer, one-answer, join",
        "drained-member, drain, roll",
        "cold-member, cold, join",
        "silence, one-answer, join"
    })
    void theGateFindsFaultsPutInOnPurpose(String fault, String rule, String day) {
        // Twice the load: answers that are refusals must be there to be spoilt.
        String told = gate(1, day, "--policy", "core-" + fault, "--set", "clients.per-second=40");
        assertTrue(told.contains("rule " + rule + " broken"), told);
        assertTrue(told.contains("gate failed: " + day + " --seed"), told);
    }

    /** Those that need a day of their own: nodes that leave at once under lost answers, and nodes that are held up. */
    @ParameterizedTest
    @CsvSource({
        "no-last-answers, one-answer, (trouble lose-answers (at-s 3) (over-s 40) (share 1)), nodes.leave-ms=50",
        "whole-grace, drain, (trouble hold-up-nodes (at-s 2) (over-s 40) (share 1)), nodes.leave-ms=3200"
    })
    void theGateFindsFaultsThatOnlyTroubleShows(String fault, String rule, String trouble, String set) {
        String told = gate(1, "roll", "--policy", "core-" + fault, "--with", trouble, "--set", set);
        assertTrue(told.contains("rule " + rule + " broken"), told);
    }

    /** However few nodes there are; before, a day had two at least. */
    @ParameterizedTest
    @CsvSource({"1, 8", "2, 8", "30, 30"})
    void aNodeThatIgnoresColdMembersIsFoundInFleetsOfAnySize(int nodes, int members) {
        AcceptanceResult v = new AcceptanceRunner(
                        new ScenarioGenerator.Size(nodes, members), "core-cold-member", Map.of())
                .play(ScenarioKind.JOIN, 1);
        assertTrue(v.fault() != null && v.fault().startsWith("rule cold broken"), v.toString());
        assertTrue(v.ownStrain() > 1 && v.strain() <= v.ownStrain(), v.toString());
        assertTrue(nodes > 1 || v.nodes() == 1, v.toString());
    }

    /** Trouble after ten quiet minutes, and a minute without discovery in the middle of a release. */
    @Test
    void troubleMayBeginAfterALongQuietTimeAndDiscoveryBeDarkForAMinute() {
        ScenarioGenerator.Beside quiet =
                new ScenarioGenerator.Beside(600, "(trouble dark-list (at-s 606) (over-s 60))");
        ScenarioGenerator.Size size = new ScenarioGenerator.Size(2, 6);
        String text = ScenarioGenerator.text(ScenarioKind.ROLL, 1, size, quiet);
        assertTrue(text.contains("(seconds 645)") && text.contains("(settle-s 603)"), text);
        java.util.regex.Matcher at =
                java.util.regex.Pattern.compile("\\(at-s (\\d+)").matcher(text);
        while (at.find()) {
            assertTrue(Integer.parseInt(at.group(1)) >= 600, text);
        }
        AcceptanceResult v =
                new AcceptanceRunner(size, quiet, "core", Map.of("seconds", "675")).play(ScenarioKind.ROLL, 1);
        assertTrue(v.fault() == null || !v.fault().startsWith("rule"), v.toString());
        // Of what is drained in the dark nobody is told, so the fault shows on a day that is not dark.
        AcceptanceResult drained = new AcceptanceRunner(
                        size, new ScenarioGenerator.Beside(600, ""), "core-drained-member", Map.of())
                .play(ScenarioKind.ROLL, 1);
        assertTrue(drained.fault() != null && drained.fault().startsWith("rule drain broken"), drained.toString());
    }

    @Test
    void theGateDrawsHoldUpsAndClocksThatAreOff() {
        String days = gate(0, "calm", "--seeds", "16", "--print");
        assertTrue(days.contains("(trouble hold-up-nodes") && days.contains("(trouble node-clocks"), days);
        assertTrue(days.contains("(trouble clocks-ahead") && days.contains("(trouble clocks-behind"), days);
    }

    @Test
    void aNodeThatServesTooLittleFails() {
        // Chance alone, where nobody counts cold members and each group weighs much: no rule is broken, and yet.
        String told = gate(
                1,
                "roll",
                "--policy",
                "random",
                "--seed",
                "2",
                "--seeds",
                "1",
                "--set",
                "member-model.fall-factor=1000",
                "--set",
                "member-model.group-load=0.5");
        assertTrue(told.contains("of the worth, the gate wants"), told);
    }

    @Test
    void daysAreTheSameEveryTimeAndForAnyNumberOfThreads() {
        List<AcceptanceResult> one = new AcceptanceRunner(SMALL, "core", Map.of())
                .play(List.of(ScenarioKind.SPLIT, ScenarioKind.ROLL), 3, 2, 1, v -> {});
        List<AcceptanceResult> four = new AcceptanceRunner(SMALL, "core", Map.of())
                .play(List.of(ScenarioKind.SPLIT, ScenarioKind.ROLL), 3, 2, 4, v -> {});
        for (int i = 0; i < one.size(); i++) {
            assertEquals(one.get(i).served(), four.get(i).served());
            assertEquals(one.get(i).seesLate(), four.get(i).seesLate());
            assertEquals(one.get(i).attempts(), four.get(i).attempts());
        }
        assertFalse(
                ScenarioGenerator.text(ScenarioKind.CALM, 1, SMALL)
                        .equals(ScenarioGenerator.text(ScenarioKind.CALM, 2, SMALL)),
                "another seed, another day");
    }

    @Test
    void whatIsNoDayIsToldWithTheNearestName() {
        assertTrue(gate(2, "splitt").contains("did you mean split?"));
        assertTrue(gate(0, "herd", "--seeds", "1", "--print").contains("(trouble kill-nodes"));
    }

    /** Tells calm days from others as the operators' page does. */
    @Test
    void theGateWantsWhatThePageSays() {
        AcceptanceRunner plain = new AcceptanceRunner(SMALL, "random", Map.of());
        AcceptanceResult calm = plain.play(ScenarioKind.CALM, 1);
        assertEquals(
                Math.max(calm.seesLate() / 2, Math.min(calm.plainest() - 0.05, calm.seesLate() - 0.1)),
                calm.wants(),
                1e-12);
        assertEquals(calm.plainest(), calm.served(), "the plainest, judged against itself");
        AcceptanceResult herd = plain.play(ScenarioKind.HERD, 1);
        assertEquals(herd.seesLate() / 2, herd.wants(), 1e-12);
    }

    /** A node that piled a group up at one member, where nothing tells of delays, served 0.03 to 0.07 less than chance does. */
    @Test
    void whereNothingTellsOfDelaysTheNodeServesMoreThanChanceDoes() {
        List<AcceptanceResult> days = new AcceptanceRunner(SMALL, "core", Map.of())
                .play(List.of(ScenarioKind.CALM, ScenarioKind.ZONE, ScenarioKind.HERD), 1, 4, 4, v -> {});
        double served = days.stream().mapToDouble(AcceptanceResult::served).sum();
        double chance = days.stream().mapToDouble(AcceptanceResult::plainest).sum();
        assertTrue(served > chance, "served " + served + ", by chance " + chance + " of " + days.size());
    }

    /** Days are those of sockets: the same day with notes of delays is another. */
    @Test
    void membersTellOfDelaysOnlyWhereTheScenarioSaysSo() {
        double deaf = new AcceptanceRunner(SMALL, "core", Map.of())
                .play(ScenarioKind.ROLL, 3)
                .served();
        double told = new AcceptanceRunner(SMALL, "core", Map.of("member-model.tells-delay", "1"))
                .play(ScenarioKind.ROLL, 3)
                .served();
        double deafTwice = new AcceptanceRunner(SMALL, "core", Map.of("member-model.tells-delay", "0"))
                .play(ScenarioKind.ROLL, 3)
                .served();
        assertEquals(deaf, deafTwice);
        assertTrue(told != deaf, "notes make no difference");
    }

    /** Each class has its half to itself: one that is seldom asked for, or that nobody can serve, has none. */
    @Test
    void aClassThatComesOffBadlyFailsTheDay() {
        AcceptanceResult even = verdict(0.9, 0.6);
        assertTrue(even.passed(), even.toString());
        assertEquals(0.2, even.margin(), 1e-9, "the second class stands nearer to its half than all do");
        AcceptanceResult uneven = verdict(0.9, 0.3);
        assertTrue(
                uneven.fault().startsWith("class second served 0.300 of its worth, the gate wants 0.400"),
                uneven.fault());
        assertEquals(-0.1, uneven.margin(), 1e-9);
        assertTrue(verdict(0.99, 0.3).passed(), "a class with a hundredth of what is asked");
        assertTrue(
                AcceptanceResult.of(
                                ScenarioKind.ROLL,
                                1,
                                of(0.7, 0.8, 0.5, 0.1),
                                of(0.8, 0.9, 0.5, 0.29),
                                of(0.5, 0.5, 0.5, 0.1))
                        .passed(),
                "a class that the late-seeing one serves under 0.3 of");
    }

    /** A class that is seldom asked for has its half where much is worth, and a tenant has its third. */
    @Test
    void aWorthyClassOrATenantThatComesOffBadlyFailsTheDay() {
        AcceptanceResult worthy = AcceptanceResult.of(
                ScenarioKind.ROLL,
                1,
                of(WORTHY, 0.7, 0.8, 0.99, 0.3),
                of(WORTHY, 0.8, 0.9, 0.99, 0.8),
                of(WORTHY, 0.5, 0.5, 0.99, 0.5));
        assertTrue(worthy.fault() != null && worthy.fault().startsWith("class second served"), worthy.toString());
        assertTrue(tenants(0.31, 0).passed(), "a tenant with a twenty-fifth of what all may have");
        String fault = tenants(0.29, 1).fault();
        assertEquals("tenant large was served 0.290 of its worth, the gate wants 0.300", fault);
    }

    private static AcceptanceResult tenants(double large, double small) {
        RunResult[] played = new RunResult[3];
        double[][] served = {{large, small}, {0.9, 0.9}, {0.5, 0.5}};
        for (int i = 0; i < played.length; i++) {
            played[i] = of(TENANTS, 0.7, 0.7, 0.5, 0.7);
            played[i].figures().put("tenant_large", served[i][0]);
            played[i].figures().put("tenant_small", served[i][1]);
        }
        return AcceptanceResult.of(ScenarioKind.ROLL, 1, played[0], played[1], played[2]);
    }

    private static AcceptanceResult verdict(double firstAsked, double secondServed) {
        return AcceptanceResult.of(
                ScenarioKind.ROLL,
                1,
                of(0.7, 0.8, firstAsked, secondServed),
                of(0.8, 0.9, firstAsked, 0.8),
                of(0.5, 0.5, firstAsked, 0.5));
    }

    private static final Scenario EVEN =
            Worlds.text("(members m (count 2)) (class first (share 1)) (class second (share 1))");
    private static final Scenario WORTHY =
            Worlds.text("(members m (count 2)) (class first (share 1)) (class second (share 1) (worth 10))");

    private static final Scenario TENANTS = Worlds.text("(members m (count 2)) (class first (share 1))"
            + "(class second (share 1)) (tenant large (share 0.96)) (tenant small (share 0.04))");

    private static RunResult of(double service, double firstServed, double firstAsked, double secondServed) {
        return of(EVEN, service, firstServed, firstAsked, secondServed);
    }

    private static RunResult of(
            Scenario s, double service, double firstServed, double firstAsked, double secondServed) {
        return new RunResult(
                s,
                1,
                new java.util.TreeMap<>(Map.of(
                        "service",
                        service,
                        "class_first",
                        firstServed,
                        "class_second",
                        secondServed,
                        "asked_first",
                        firstAsked,
                        "asked_second",
                        1 - firstAsked,
                        "attempts_per_ask",
                        1.0,
                        "refused_per_ask",
                        0.0,
                        "cold_strain",
                        0.0,
                        "slow_start_strain",
                        0.0)),
                Map.of(),
                new float[1][],
                null,
                null,
                new long[0],
                KEPT,
                0,
                0,
                0);
    }
}

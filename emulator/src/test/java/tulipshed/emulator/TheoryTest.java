package tulipshed.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.scenario.Scenario;

/** Where theory has a result, the emulator must come to it; tolerances are stated with each. */
class TheoryTest {
    /** Nothing but set-ups: no connection asks for work once it stands. */
    private static String queue(int members, int cores, double perSecond, double seconds) {
        return "(seconds " + seconds + ")(network (within-ms 1)(jitter-ms 0))(nodes (count 1)(groups 0))"
                + "(members std (count " + members + ")(cores " + cores
                + "))(class c (aim-ms 100000)(deadline-ms 1000000)"
                + "(life-s 0.001)(load 0))(clients (per-second " + perSecond + ")(give-up-share 0))"
                + "(member-model (setup-ms 100)(exponential 1)(queue 1000000))";
    }

    private static double erlangC(int c, double a) {
        double sum = 0;
        double term = 1;
        for (int k = 0; k < c; k++) {
            sum += term;
            term *= a / (k + 1);
        }
        double last = term * c / (c - a);
        return last / (sum + last);
    }

    /** Mean wait in M/M/c, from Erlang's C formula; within 6 in 100 over 160,000 arrivals. */
    @ParameterizedTest
    @CsvSource({"1, 0.5", "1, 0.8", "2, 0.8", "4, 0.7", "8, 0.9"})
    void waitsAreThoseOfMMC(int cores, double busy) {
        double perSecond = busy * cores * 10;
        RunResult o = Worlds.run(Worlds.text(queue(1, cores, perSecond, 160_000 / perSecond), "policy=random"), 11);
        double expected = 1000 * erlangC(cores, busy * cores) / (cores * 10 - perSecond);
        assertEquals(expected, o.waitUs().getMean() / 1000, 0.06 * expected);
        assertEquals(1 - erlangC(cores, busy * cores), below(o), 0.02, "the part that need not wait");
    }

    private static double below(RunResult o) {
        return o.waitUs().getPercentileAtOrBelowValue(1) / 100;
    }

    /**
     * Of many queues under two choices a part of lambda^(2^k - 1) holds k or more (Vvedenskaya, Dobrushin, Karpelevich
     * 1996); under one choice lambda^k. Within 0.02 for k up to 4.
     */
    @Test
    void twoChoicesHaveTheTailThatTheoryGives() {
        double lambda = 0.8;
        Scenario two = Worlds.text(queue(500, 1, 500 * lambda * 10, 90), "policy=least-of-two");
        Scenario one = Worlds.text(queue(500, 1, 500 * lambda * 10, 90), "policy=random");
        long[] q2 = Worlds.run(two, 3).queue();
        long[] q1 = Worlds.run(one, 3).queue();
        for (int k = 1; k <= 4; k++) {
            assertEquals(Math.pow(lambda, Math.pow(2, k) - 1), atLeast(q2, k), 0.02, "two choices, " + k);
            assertEquals(Math.pow(lambda, k), atLeast(q1, k), 0.04, "one choice, " + k);
        }
        assertTrue(atLeast(q2, 6) < 0.002, "nearly none holds six");
    }

    private static double atLeast(long[] queue, int k) {
        double all = 0;
        double more = 0;
        for (int i = 0; i < queue.length; i++) {
            all += queue[i];
            more += i >= k ? queue[i] : 0;
        }
        return more / all;
    }

    /** Twice as fast a fleet under twice the clients, over half the time, is the same fleet. */
    @Test
    void doublingSpeedsAndRatesLeavesTheWaits() {
        RunResult slow = Worlds.run(Worlds.text(queue(4, 2, 64, 1200), "policy=random"), 8);
        RunResult fast = Worlds.run(
                Worlds.text(
                        queue(4, 2, 64, 1200),
                        "policy=random",
                        "members.std.speed=2",
                        "clients.per-second=128",
                        "seconds=600"),
                8);
        assertEquals(
                slow.waitUs().getMean() / 2,
                fast.waitUs().getMean(),
                0.04 * fast.waitUs().getMean());
    }

    /** Which member has which number, or comes first in the list, means nothing: service over seeds stays. */
    @Test
    void kindsInAnotherOrderServeAlike() {
        String rest = "(seconds 20)(nodes (count 4))(clients (per-second 40)(standing 300))"
                + "(class c (life-s 10)(load 0.05))";
        double there = 0;
        double back = 0;
        for (int seed = 1; seed <= 32; seed++) {
            there += spread("(members a (count 6)(cores 2))(members b (count 6)(cores 4))" + rest, seed) / 32;
            back += spread("(members b (count 6)(cores 4))(members a (count 6)(cores 2))" + rest, seed) / 32;
        }
        assertEquals(there, back, 0.05 * there);
    }

    private static double spread(String scenario, int seed) {
        return Worlds.run(Worlds.text(scenario, "policy=module"), seed).figure("load_spread");
    }
}

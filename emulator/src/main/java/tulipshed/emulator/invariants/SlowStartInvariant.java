package tulipshed.emulator.invariants;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Holds all nodes together to the rule of slow start, for one member: the work that reached it within any window of the
 * stated length against what it could have done in that time, its budget of N requests, and what is left to chance.
 *
 * <p>The operators leave 2 x root of N + 2 requests to chance, and 3 x root of N + 3 where N is under 30. This rule is
 * stricter in two ways: never more than three requests are chance, however large the budget, and the budget is that of the
 * capacity that the member had over the window, which rises, not that of the present one.
 */
public final class SlowStartInvariant {
    private static final double TOLD = 2.0 / 3; // of the work, from nodes that knew, makes it a breach
    private static final double MOST_CHANCE = 3; // requests
    private static final double SMALL_BUDGET = 30; // requests, below which the operators leave more to chance

    private final int member;
    private final double factor;
    private final double request;
    private final double windowMs;
    private final Deque<Arrival> window = new ArrayDeque<>();

    /** Work that reached the member, what it could take of it in a millisecond then, and whether its sender knew. */
    private record Arrival(double atMs, double amount, double capacity, boolean known) {}

    /**
     * The rule for one member: more than {@code factor} times its capacity over {@code windowMs} pushes it over.
     *
     * @param request what one request is in the mean, in the unit of the work; 0 leaves nothing to chance
     */
    public SlowStartInvariant(int member, double factor, double windowMs, double request) {
        this.member = member;
        this.request = request;
        this.factor = factor;
        this.windowMs = windowMs;
    }

    /** A new process: what reached the old one does not count. */
    public void restart() {
        window.clear();
    }

    /**
     * Work reached the member.
     *
     * @param amount of work, in whichever unit
     * @param capacity what the member can take of it in a millisecond now
     * @param known whether the node that sent it had been told of the member's start
     */
    public void pushed(double atMs, double amount, double capacity, boolean known) {
        while (!window.isEmpty() && window.peekFirst().atMs() < atMs - windowMs) {
            window.removeFirst();
        }
        window.addLast(new Arrival(atMs, amount, capacity, known));
    }

    private double work() {
        return window.stream().mapToDouble(Arrival::amount).sum();
    }

    private boolean isTold() {
        double told = window.stream()
                .filter(Arrival::known)
                .mapToDouble(Arrival::amount)
                .sum();
        return told >= TOLD * work();
    }

    /** What the member could do within the window; until each arrival with the capacity that it had then. */
    private double budget() {
        double able = 0;
        double sinceMs = window.isEmpty() ? 0 : window.peekLast().atMs() - windowMs;
        for (Arrival a : window) {
            able += a.capacity() * (a.atMs() - sinceMs);
            sinceMs = a.atMs();
        }
        return factor * able;
    }

    /** Whether the member falls over now. */
    public boolean falls() {
        return strain() > 1;
    }

    /** How near it is to falling; 1 is the bound of this rule. */
    public double strain() {
        return request > 0 ? strain(request * chance(budget() / request)) : strain(0);
    }

    /** How near it is to a breach by the operators' formula; 0 where most came from nodes that had not been told. */
    public double toldStrain() {
        if (!isTold()) {
            return 0;
        }
        return request > 0 ? strain(request * operatorsChance(budget() / request)) : strain(0);
    }

    private double strain(double chance) {
        double most = budget() + chance;
        return most > 0 ? work() / most : 0;
    }

    /** What is left to chance beyond a budget of so many requests. */
    static double chance(double budget) {
        return Math.min(MOST_CHANCE, 2 * Math.sqrt(budget) + 2);
    }

    /** The same by the operators' formula. */
    static double operatorsChance(double budget) {
        double root = Math.sqrt(budget);
        return budget < SMALL_BUDGET ? 3 * root + 3 : 2 * root + 2;
    }

    /** It fell: a breach where those who pushed it knew that it was cold. */
    public void fell(double atMs, InvariantReport report, double ageMs) {
        if (isTold()) {
            report.broken(
                    Invariant.COLD,
                    atMs,
                    member,
                    "member " + member + ", " + Math.round(ageMs) + " ms old, was sent "
                            + Math.round(work() / Math.max(1e-12, budget() / factor) * 10) / 10.0
                            + " times what it could take");
        }
    }
}

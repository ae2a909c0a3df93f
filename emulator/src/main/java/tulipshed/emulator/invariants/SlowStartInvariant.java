package tulipshed.emulator.invariants;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * {@link Invariant#SLOW_START_LIMIT} for one endpoint, which all nodes hold together: the work that reached it within any
 * window must not exceed the window's budget plus an allowance for random variation.
 *
 * <p>With {@code N} the budget in requests, the operators' formula allows {@code N + 2 sqrt(N) + 2}, and
 * {@code N + 3 sqrt(N) + 3} where {@code N < 30}. This check is stricter in two ways: the allowance is at most three
 * requests, however large the budget, and the budget is that of the capacity that the endpoint had during the window, which
 * rises, instead of the present capacity.
 */
public final class SlowStartInvariant {
    /** Part of the work that must come from notified nodes for an overload to be a violation. */
    private static final double NOTIFIED_SHARE = 2.0 / 3;

    private static final double MAX_ALLOWANCE_REQUESTS = 3;
    /** Budget in requests below which the operators' formula allows for more variation. */
    private static final double SMALL_BUDGET_REQUESTS = 30;

    private final int endpoint;
    private final double overloadFactor;
    private final double meanRequestWork;
    private final double windowMs;
    private final Deque<Arrival> window = new ArrayDeque<>();

    /** Work that reached the endpoint, its capacity in work per millisecond then, and whether the sender was notified. */
    private record Arrival(double atMs, double work, double capacity, boolean notified) {}

    /**
     * The invariant for one endpoint, whose process fails at more than {@code overloadFactor} times its capacity over
     * {@code windowMs}.
     *
     * @param meanRequestWork mean work of one request, in the unit of the work; 0 leaves no allowance
     */
    public SlowStartInvariant(int endpoint, double overloadFactor, double windowMs, double meanRequestWork) {
        this.endpoint = endpoint;
        this.meanRequestWork = meanRequestWork;
        this.overloadFactor = overloadFactor;
        this.windowMs = windowMs;
    }

    /** A new process started: what reached the old one does not count. */
    public void processRestarted() {
        window.clear();
    }

    /**
     * Work reached the endpoint.
     *
     * @param work amount of work, in any unit
     * @param capacity work per millisecond that the endpoint can do now
     * @param notified whether the sending node had been notified of the process's start
     */
    public void workArrived(double atMs, double work, double capacity, boolean notified) {
        while (!window.isEmpty() && window.peekFirst().atMs() < atMs - windowMs) {
            window.removeFirst();
        }
        window.addLast(new Arrival(atMs, work, capacity, notified));
    }

    private double work() {
        return window.stream().mapToDouble(Arrival::work).sum();
    }

    private boolean isMostlyNotified() {
        double notified = window.stream()
                .filter(Arrival::notified)
                .mapToDouble(Arrival::work)
                .sum();
        return notified >= NOTIFIED_SHARE * work();
    }

    /** The work that the endpoint can take within the window; until each arrival with its capacity at that arrival. */
    private double budget() {
        double possible = 0;
        double sinceMs = window.isEmpty() ? 0 : window.peekLast().atMs() - windowMs;
        for (Arrival arrival : window) {
            possible += arrival.capacity() * (arrival.atMs() - sinceMs);
            sinceMs = arrival.atMs();
        }
        return overloadFactor * possible;
    }

    /** Whether the limit is exceeded now, so that the endpoint's process fails. */
    public boolean isExceeded() {
        return strain() > 1;
    }

    /** The work in the window as a share of this check's limit. */
    public double strain() {
        return meanRequestWork > 0 ? strain(meanRequestWork * allowance(budget() / meanRequestWork)) : strain(0);
    }

    /** The same of the operators' limit; 0 where most of the work came from nodes that had not been notified. */
    public double notifiedStrain() {
        if (!isMostlyNotified()) {
            return 0;
        }
        return meanRequestWork > 0
                ? strain(meanRequestWork * operatorsAllowance(budget() / meanRequestWork))
                : strain(0);
    }

    private double strain(double allowedWork) {
        double limit = budget() + allowedWork;
        return limit > 0 ? work() / limit : 0;
    }

    /** Requests that this check allows beyond a budget of so many requests. */
    static double allowance(double budget) {
        return Math.min(MAX_ALLOWANCE_REQUESTS, 2 * Math.sqrt(budget) + 2);
    }

    /** Requests that the operators' formula allows beyond a budget of so many requests. */
    static double operatorsAllowance(double budget) {
        double root = Math.sqrt(budget);
        return budget < SMALL_BUDGET_REQUESTS ? 3 * root + 3 : 2 * root + 2;
    }

    /**
     * The endpoint's process failed of overload: a violation where most of the work came from notified nodes.
     *
     * @param ageMs time since the process's start
     */
    public void endpointFailed(double atMs, InvariantReport report, double ageMs) {
        if (isMostlyNotified()) {
            report.record(
                    Invariant.SLOW_START_LIMIT,
                    atMs,
                    endpoint,
                    "member " + endpoint + ", " + Math.round(ageMs) + " ms old, was sent "
                            + Math.round(work() / Math.max(1e-12, budget() / overloadFactor) * 10) / 10.0
                            + " times what it could take");
        }
    }
}

package tulipshed.emulator.faultinjection;

import java.util.Locale;
import java.util.Set;

/**
 * One fault of links or processes, drawn before the run begins. It is active from {@code fromMs} on and before
 * {@code untilMs}; both are milliseconds of the scenario.
 *
 * @param kind its name in scenario files
 * @param nodes indices of the nodes whose links or processes it affects
 * @param endpoints indices of the endpoints whose links to these nodes it affects; empty where it affects the links to
 *     discovery, or the processes
 * @param linkState state of those links meanwhile; {@link LinkState#HEALTHY} for a fault that lasts for a moment only
 * @param resetShare for a reset, the share of the connections over each link that are reset, from 0 to 1
 * @param midLine for a reset, whether half of the bytes that wait for delivery are delivered first
 */
record Fault(
        String kind,
        double fromMs,
        double untilMs,
        Set<Integer> nodes,
        Set<Integer> endpoints,
        LinkState linkState,
        double resetShare,
        boolean midLine) {

    /** Whether the fault is active at a moment. */
    boolean isActiveAt(double nowMs) {
        return nowMs >= fromMs && nowMs < untilMs;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%6.1f s to %6.1f s  %-18s nodes %s%s",
                fromMs / 1000,
                untilMs / 1000,
                kind,
                nodes,
                endpoints.isEmpty() ? "" : ", members " + endpoints);
    }
}

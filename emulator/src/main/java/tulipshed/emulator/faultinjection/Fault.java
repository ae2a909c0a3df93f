package tulipshed.emulator.faultinjection;

import java.util.Locale;
import java.util.Set;

/**
 * One thing that is wrong for a time, drawn before the day begins.
 *
 * @param kind the trouble's word in scenario files
 * @param nodes the nodes whose links or processes it is
 * @param members the members whose links it is; empty where it is none of theirs
 * @param condition of those links meanwhile; sound for what happens at one moment
 * @param share for a reset, of the connections over each link
 */
record Fault(
        String kind,
        double fromMs,
        double untilMs,
        Set<Integer> nodes,
        Set<Integer> members,
        LinkState condition,
        double share,
        boolean midLine) {

    boolean at(double nowMs) {
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
                members.isEmpty() ? "" : ", members " + members);
    }
}

package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.List;

/**
 * When which parts of the world do not hear each other. Known before the day begins and never changed after, so that
 * both ends of a way may ask at the same time. What is sent into a cut is not lost: it arrives once the cut is over, as
 * what TCP repeats does.
 */
final class NetworkPartitions {
    private record Cut(String site, int member, double fromMs, double untilMs) {}

    private final List<Cut> cuts = new ArrayList<>();

    /** A site hears only itself for a time. */
    void site(String site, double fromMs, double untilMs) {
        cuts.add(new Cut(site, -1, fromMs, untilMs));
    }

    /** A member hears nobody, and nobody hears it, for a time. */
    void member(int member, double fromMs, double untilMs) {
        cuts.add(new Cut(null, member, fromMs, untilMs));
    }

    /**
     * From when on two sites hear each other.
     *
     * @return {@code nowMs} where they do now
     */
    double backMs(String a, String b, double nowMs) {
        return backMs(a, b, -1, nowMs);
    }

    /** From when on a site and a member at another hear each other, in milliseconds of the day. */
    double backMs(String site, EmulatedEndpoint member, double nowMs) {
        return backMs(site, member.site, member.number, nowMs);
    }

    private double backMs(String a, String b, int member, double nowMs) {
        double back = nowMs;
        // Cuts may follow on each other without a gap; each is looked at until none covers the moment.
        for (boolean moved = !cuts.isEmpty(); moved; ) {
            moved = false;
            for (Cut c : cuts) {
                boolean between =
                        c.site == null ? c.member == member : !a.equals(b) && (c.site.equals(a) || c.site.equals(b));
                if (between && back >= c.fromMs && back < c.untilMs) {
                    back = c.untilMs;
                    moved = true;
                }
            }
        }
        return back;
    }
}

package tulipshed.emulator.invariants;

import java.util.HashMap;
import java.util.Map;

/** Holds one node to the rules, told all that it was told and all that it did. */
public final class NodeInvariants {
    private static final int REMEMBERED = 24; // steps of one transaction, for the trace of a breach

    private final int node;
    private final InvariantReport report;
    private final double slackMs;
    private final double drainMs;
    private final Map<Integer, Double> notServingSince = new HashMap<>();
    private double heldUpUntilMs;
    private double heldUpMs;

    /** One transaction that is being watched. */
    public static final class Watched {
        private final long id;
        private final double deadlineMs;
        private int answers;
        private int out;
        private boolean left;
        private String[] steps = new String[4];
        private int count;

        private Watched(long id, double deadlineMs) {
            this.id = id;
            this.deadlineMs = deadlineMs;
        }

        /** Whether it has had a final answer. */
        public boolean answered() {
            return answers > 0;
        }

        private void step(double atMs, String what) {
            if (steps == null || count >= REMEMBERED) {
                return;
            }
            if (count == steps.length) {
                steps = java.util.Arrays.copyOf(steps, 2 * count);
            }
            steps[count++] = Math.round(atMs * 10) / 10.0 + " " + what;
        }

        private String trace() {
            return steps == null
                    ? ""
                    : "; " + String.join(", ", java.util.Arrays.asList(steps).subList(0, count));
        }
    }

    /**
     * Rules for one node.
     *
     * @param slackMs how long after the client's wait an answer still counts
     * @param drainMs how long after the news of a drain something may still be sent
     */
    public NodeInvariants(int node, InvariantReport report, double slackMs, double drainMs) {
        this.node = node;
        this.report = report;
        this.slackMs = slackMs;
        this.drainMs = drainMs;
    }

    private void broken(Invariant rule, double atMs, Watched w, String what) {
        report.broken(rule, atMs, node, "node " + node + ", transaction " + w.id + ": " + what + w.trace());
    }

    /** A client asks, and waits until the deadline. */
    public Watched asked(double atMs, long id, double deadlineMs) {
        Watched w = new Watched(id, deadlineMs);
        w.step(atMs, "asked until " + Math.round(deadlineMs));
        return w;
    }

    /** A flow towards a member goes out. */
    public void sent(double atMs, Watched w, int member) {
        report.send();
        w.step(atMs, "sent to " + member);
        if (w.out > 0) {
            broken(Invariant.ONE_FLOW, atMs, w, "a second flow out");
        }
        if (w.answers > 0 || w.left) {
            broken(Invariant.ONE_FLOW, atMs, w, "a flow for a transaction that is over");
        }
        w.out++;
        Double since = notServingSince.get(member);
        if (since != null && atMs > since + drainMs) {
            broken(
                    Invariant.DRAIN,
                    atMs,
                    w,
                    "sent to member " + member + " " + Math.round(atMs - since) + " ms after it was told not to serve");
        }
    }

    /** A flow is over. */
    public void over(double atMs, Watched w, String how) {
        w.step(atMs, how);
        w.out--;
    }

    /** A final answer: served, refused or failed. */
    public void answered(double atMs, Watched w, String how) {
        report.answer();
        w.step(atMs, how);
        w.answers++;
        if (w.left) {
            return;
        }
        if (w.answers > 1) {
            broken(Invariant.ONE_ANSWER, atMs, w, "another final answer");
        }
        if (atMs > w.deadlineMs + slackMs + (atMs < heldUpUntilMs ? heldUpMs : 0)) {
            broken(Invariant.IN_TIME, atMs, w, "answered " + Math.round(atMs - w.deadlineMs) + " ms late");
        }
        w.steps = w.answers == 1 && "served".equals(how) ? null : w.steps;
    }

    /** Until then the node may be held up for so long, by which its answers, and nothing else, may be later. */
    public void heldUp(double untilMs, double byMs) {
        heldUpUntilMs = untilMs;
        heldUpMs = byMs;
    }

    /** The node ends the connection of a client by itself: one that was given no answer is lost. */
    public void closed(double atMs, Watched w) {
        if (w.answers == 0 && !w.left) {
            broken(Invariant.ONE_ANSWER, atMs, w, "closed with no answer");
            w.left = true;
        }
    }

    /** The client left by itself, or the process was killed under it; nothing is owed. */
    public void left(Watched w) {
        w.left = true;
    }

    /** The client's wait and the slack are over. */
    public void waited(double atMs, Watched w) {
        if (w.answers == 0 && !w.left) {
            broken(Invariant.ONE_ANSWER, atMs, w, "no answer");
            w.left = true;
        }
    }

    /** Another process begins in its place, which has been told nothing yet. */
    public void starts() {
        notServingSince.clear();
    }

    /** The node was told of a member. */
    public void told(double atMs, int member, boolean serving) {
        if (serving) {
            notServingSince.remove(member);
        } else {
            notServingSince.putIfAbsent(member, atMs);
        }
    }
}

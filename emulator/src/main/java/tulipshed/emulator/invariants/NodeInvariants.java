package tulipshed.emulator.invariants;

/**
 * Checks one node against the invariants of {@link Invariant}, all but the slow-start limit, from the events that the node
 * sees and the actions that it takes.
 *
 * <ul>
 *   <li>{@link Invariant#EXACTLY_ONE_ANSWER}: {@code answers == 1} once the client's wait ended, unless the client left.
 *   <li>{@link Invariant#ANSWER_IN_TIME}: {@code answeredMs <= deadlineMs + slackMs}, plus the stall that is allowed.
 *   <li>{@link Invariant#ONE_ATTEMPT_AT_A_TIME}: {@code attemptsInProgress <= 1}, and 0 once answered or left.
 *   <li>{@link Invariant#NO_ATTEMPT_AFTER_DRAIN_GRACE}: {@code startedMs <= notifiedMs + drainGraceMs}.
 * </ul>
 */
public final class NodeInvariants {
    /** Says in {@link #answered} that the connection was established. */
    private static final String SERVED = "served";

    private final int node;
    private final InvariantReport report;
    private final double slackMs;
    private final double drainGraceMs;
    private final DrainNotifications drains = new DrainNotifications();
    private double stallUntilMs;
    private double stallMs;

    /**
     * The invariants of one node.
     *
     * @param slackMs time after the client's deadline within which an answer counts as in time
     * @param drainGraceMs time after the notification of a drain within which attempts may still start
     */
    public NodeInvariants(int node, InvariantReport report, double slackMs, double drainGraceMs) {
        this.node = node;
        this.report = report;
        this.slackMs = slackMs;
        this.drainGraceMs = drainGraceMs;
    }

    private void violated(Invariant invariant, double atMs, ObservedRequest request, String what) {
        report.record(
                invariant, atMs, node, "node " + node + ", transaction " + request.id + ": " + what + request.trace());
    }

    /** A request arrived, whose client waits until the deadline. */
    public ObservedRequest requestArrived(double atMs, long id, double deadlineMs) {
        ObservedRequest request = new ObservedRequest(id, deadlineMs);
        request.addEvent(atMs, "asked until " + Math.round(deadlineMs));
        return request;
    }

    /** An attempt started at an endpoint. */
    public void attemptStarted(double atMs, ObservedRequest request, int endpoint) {
        report.countAttempt();
        request.addEvent(atMs, "sent to " + endpoint);
        if (request.attemptsInProgress > 0) {
            violated(Invariant.ONE_ATTEMPT_AT_A_TIME, atMs, request, "a second flow out");
        }
        if (request.answers > 0 || request.clientLeft) {
            violated(Invariant.ONE_ATTEMPT_AT_A_TIME, atMs, request, "a flow for a transaction that is over");
        }
        request.attemptsInProgress++;
        checkDrainGrace(atMs, request, endpoint);
    }

    private void checkDrainGrace(double atMs, ObservedRequest request, int endpoint) {
        double sinceMs = drains.notServingSinceMs(endpoint);
        if (atMs > sinceMs + drainGraceMs) {
            violated(
                    Invariant.NO_ATTEMPT_AFTER_DRAIN_GRACE,
                    atMs,
                    request,
                    "sent to member " + endpoint + " " + Math.round(atMs - sinceMs)
                            + " ms after it was told not to serve");
        }
    }

    /** An attempt ended. */
    public void attemptEnded(double atMs, ObservedRequest request, String how) {
        request.addEvent(atMs, how);
        request.attemptsInProgress--;
    }

    /** The node gave a final answer: {@code served}, or how it was rejected or failed. */
    public void answered(double atMs, ObservedRequest request, String how) {
        report.countAnswer();
        request.addEvent(atMs, how);
        request.answers++;
        if (request.clientLeft) {
            return;
        }
        if (request.answers > 1) {
            violated(Invariant.EXACTLY_ONE_ANSWER, atMs, request, "another final answer");
        }
        if (atMs > request.deadlineMs + slackMs + (atMs < stallUntilMs ? stallMs : 0)) {
            violated(
                    Invariant.ANSWER_IN_TIME,
                    atMs,
                    request,
                    "answered " + Math.round(atMs - request.deadlineMs) + " ms late");
        }
        if (request.answers == 1 && SERVED.equals(how)) {
            request.dropEvents();
        }
    }

    /** Until a time the node's process may be stalled, by which its answers, and nothing else, may be later. */
    public void allowStall(double untilMs, double byMs) {
        stallUntilMs = untilMs;
        stallMs = byMs;
    }

    /** The node closed the client's connection; a client without an answer was dropped. */
    public void connectionClosed(double atMs, ObservedRequest request) {
        requireAnswer(atMs, request, "closed with no answer");
    }

    /** The client left by itself, or the node's process was killed: no answer is owed any more. */
    public void clientLeft(ObservedRequest request) {
        request.clientLeft = true;
    }

    /** The client's wait and the slack are over. */
    public void waitEnded(double atMs, ObservedRequest request) {
        requireAnswer(atMs, request, "no answer");
    }

    private void requireAnswer(double atMs, ObservedRequest request, String what) {
        if (request.answers == 0 && !request.clientLeft) {
            violated(Invariant.EXACTLY_ONE_ANSWER, atMs, request, what);
            request.clientLeft = true;
        }
    }

    /** The node's process was replaced by one that has been notified of nothing yet. */
    public void processStarted() {
        drains.clear();
    }

    /** The node was notified of an endpoint's status. */
    public void endpointNotified(double atMs, int endpoint, boolean serving) {
        drains.notified(atMs, endpoint, serving);
    }
}

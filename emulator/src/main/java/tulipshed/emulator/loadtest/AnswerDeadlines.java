package tulipshed.emulator.loadtest;

import tulipshed.emulator.invariants.NodeInvariants;
import tulipshed.emulator.policy.ClientRequest;

/**
 * When the answers of a node's processes are owed at the latest. While its process was suspended a node could do nothing: its
 * answer is owed all the same, by as much later as it was suspended.
 */
final class AnswerDeadlines {
    private final double slackMs;
    private final ProcessPauses pauses = new ProcessPauses();

    /**
     * The deadlines of one node.
     *
     * @param slackMs how long after a request's deadline its answer still counts
     */
    AnswerDeadlines(double slackMs) {
        this.slackMs = slackMs;
    }

    /** The process is suspended from now on. */
    void suspended(double nowMs) {
        pauses.begin(nowMs);
    }

    /** The process runs again, or another one takes its place. */
    void resumed(double nowMs) {
        pauses.end(nowMs);
    }

    /** When the answer is owed at the latest by a process that was never suspended. */
    double latestMs(ClientRequest request) {
        return request.deadlineMs + slackMs;
    }

    /** When the answer to a client is owed at the latest; infinite while the process is suspended. */
    double dueMs(ClientRequest request) {
        return pauses.dueMs(request.arrivalMs, latestMs(request));
    }

    /** Judges a first answer. */
    void judge(NodeInvariants rules, double nowMs, ClientRequest request, String how) {
        rules.allowStall(Double.POSITIVE_INFINITY, dueMs(request) - latestMs(request));
        rules.answered(nowMs, request.observed, how);
        rules.allowStall(0, 0);
    }
}

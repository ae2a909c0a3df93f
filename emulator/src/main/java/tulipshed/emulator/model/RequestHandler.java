package tulipshed.emulator.model;

import tulipshed.emulator.invariants.ObservedRequest;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;

/** Requests at an emulated node, from their arrival to their answer or to their client's departure. */
final class RequestHandler {
    /** How long after its deadline a missing answer may still come, and count as late. */
    private static final double OVERDUE_MS = 500;

    private final EmulatedNode node;
    private long lastRequestId;

    RequestHandler(EmulatedNode node) {
        this.node = node;
    }

    /** Adds a request to those that the node holds and that its invariants follow. */
    ClientRequest open(ClientDemand demand, double arrivalMs, double deadlineMs) {
        long id = ++lastRequestId;
        ObservedRequest observed = node.process().invariants().requestArrived(arrivalMs, id, deadlineMs);
        ClientRequest request = new ClientRequest(id, demand, arrivalMs, deadlineMs, observed);
        node.requests().add(request);
        return request;
    }

    /** A client sends a request, which is owed an answer within that time. */
    void receive(ClientDemand demand, double graceMs) {
        double nowMs = node.nowMs;
        ClientRequest request = open(demand, nowMs, nowMs + graceMs);
        node.log(
                request,
                "a client asks, try " + demand.requestCount
                        + (demand.reconnecting ? ", back after a break or a move" : "") + ", waits "
                        + Math.round(graceMs) + " ms");
        node.scheduleSelf(request.deadlineMs + NodeActor.SLACK_MS + 1, new ClientMessage.AnswerDue(request));
        if (node.random.nextDouble() < node.clients.earlyLeaveShare()) {
            node.scheduleSelf(nowMs + graceMs * node.random.nextDouble(), new AttemptMessage.ClientLeaves(request));
        }
        node.turns().run(() -> {
            if (request.indexAtNode >= 0) {
                request.received = true;
                node.process().policy().requestArrived(request);
            }
        });
    }

    /** A client leaves before it is answered. */
    void clientLeaves(ClientRequest request) {
        if (!request.answerPending || request.indexAtNode < 0) {
            return;
        }
        node.log(request, "the client leaves before it is answered");
        node.process().invariants().clientLeft(request.observed);
        node.clients.leavesForGood();
        if (node.turns().isStalled()) {
            node.requests().remove(request);
            node.turns().runFirstAfterStall(() -> cancel(request));
        } else {
            cancel(request);
        }
    }

    private void cancel(ClientRequest request) {
        if (request.received) {
            node.process().policy().requestCancelled(request);
            node.process().policy().runReadyTasks();
        }
        node.requests().remove(request);
        if (request.attempt != null) {
            node.connections().cancel(request.attempt);
        }
    }

    /**
     * The deadline and the slack are over: whether the client goes on without an answer. The answer is still awaited for a
     * while, as a late answer and a missing one break different invariants.
     */
    boolean timeOut(ClientRequest request) {
        if (request.indexAtNode < 0 || request.established || request.observed.answered()) {
            return false;
        }
        request.clientTimedOut = true;
        node.scheduleSelf(request.deadlineMs + OVERDUE_MS, new AttemptMessage.AnswerOverdue(request));
        return true;
    }

    /** An answer, should it come, would not count as late any more. */
    void answerOverdue(ClientRequest request) {
        node.process().invariants().waitEnded(node.nowMs, request.observed);
        node.turns().run(() -> {
            if (request.indexAtNode >= 0 && !request.established) {
                cancel(request);
            }
        });
    }

    /** Answers a request without a connection; the counter is by second. */
    void turnAway(ClientRequest request, String answer, long[] counter, double retryAfterMs) {
        double answeredMs = node.turns().writeMs();
        node.process().invariants().answered(answeredMs, request.observed, answer);
        if (request.indexAtNode < 0) {
            return;
        }
        node.tally().at(counter, node.nowMs);
        node.requests().remove(request);
        if (!request.clientTimedOut) {
            node.clients.refused(answeredMs, request, retryAfterMs);
        }
    }
}

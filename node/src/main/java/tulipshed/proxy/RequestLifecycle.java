package tulipshed.proxy;

import java.util.List;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import tulipshed.limits.Limits;
import tulipshed.time.Clock;

/**
 * Takes requests from their arrival to their one final response: by decision, at the deadline, when the client
 * disconnects, or at shutdown. Confined to the event-loop thread.
 */
final class RequestLifecycle {
    private final Clock clock;
    private final EventBatch events;
    private final Limits limits;
    private final RequestTable table;
    private final FinalResponses responses;
    private final RequestRouting routing;
    private final AttemptManager attempts;
    private final Logger log;

    RequestLifecycle(
            CoreContext context,
            RequestTable table,
            FinalResponses responses,
            RequestRouting routing,
            AttemptManager attempts) {
        this.clock = context.clock();
        this.events = context.events();
        this.limits = context.limits();
        this.log = context.log().logger(CoreContext.LOG_SUBJECT);
        this.table = table;
        this.responses = responses;
        this.routing = routing;
        this.attempts = attempts;
    }

    /** Takes a new request, which gets exactly one final response from here on. */
    void arrived(Request request) {
        routing.classify(request);
        responses.expect(request);
        table.register(request);
        expectDecisionBy(decisionDueMs(request), request);
        events.add((balancer, nowMs, nowUs) -> {
            request.assignPool(routing.poolOf(request));
            balancer.requestArrived(nowUs, request.toNewRequest(nowMs, request.classIndex()));
        });
    }

    /** The margin before the deadline; where the client waits no longer than that, half of the time it waits. */
    private double decisionDueMs(Request request) {
        double nowMs = clock.nowMs();
        double dueMs = request.deadlineMs() - limits.requests().responseMarginMs();
        return dueMs > nowMs ? dueMs : (nowMs + request.deadlineMs()) / 2;
    }

    private void expectDecisionBy(double dueMs, Request request) {
        request.setDeadlineTimer(events.schedule(dueMs, () -> decisionDue(request)));
    }

    private void decisionDue(Request request) {
        if (request.attempt() != null && clock.nowMs() < request.deadlineMs()) {
            // The attempt ends by now too, and the decision that follows is awaited no longer than the client waits.
            expectDecisionBy(request.deadlineMs(), request);
        } else {
            // Not before the decisions on what has happened by now.
            events.add((balancer, nowMs, nowUs) -> events.defer(() -> failUndecided(request)));
        }
    }

    /** The decision module decides in time by itself; should it not, the client still gets its one response. */
    private void failUndecided(Request request) {
        if (request.isPending()) {
            log.warn("request " + request.id() + " failed: no decision before its deadline");
            responses.fail(request);
            cancel(request);
        }
    }

    /** The client disconnected; without effect where it already has its final response. */
    void clientDisconnected(Request request) {
        if (!request.isPending()) {
            return;
        }
        responses.complete(request);
        if (!request.hasId()) {
            // An adopted connection still waiting for its endpoint: the decision module does not know it yet.
            return;
        }
        cancel(request);
    }

    /** Notifies the decision module that nobody waits for a response any more, and ends the attempt if one is open. */
    private void cancel(Request request) {
        events.add((balancer, nowMs, nowUs) -> {
            events.defer(() -> forget(request));
            balancer.requestCancelled(nowUs, request.id());
        });
    }

    /**
     * Deferred, as the same batch may have brought the decision to start an attempt: it is reported as unused while the
     * request is known still. Otherwise the decision module would count it at its endpoint for ever.
     */
    private void forget(Request request) {
        attempts.cancelOpen(request);
        table.removeIfFinished(request);
    }

    /** Rejects the request of that id, if it is still pending. */
    void reject(long requestId, double retryAfterMs) {
        respond(requestId, request -> responses.reject(request, retryAfterMs));
    }

    /** Fails the request of that id, if it is still pending. */
    void fail(long requestId) {
        respond(requestId, responses::fail);
    }

    private void respond(long requestId, Consumer<Request> response) {
        Request request = table.find(requestId);
        if (request != null && request.isPending()) {
            response.accept(request);
            table.removeIfFinished(request);
        }
    }

    /** Answers every pending request at once, with a rejection only where a retry is harmless. */
    void rejectAllPending() {
        for (Request request : List.copyOf(table.all())) {
            if (request.isPending()) {
                rejectOrFail(request);
                attempts.cancelOpen(request);
            }
        }
    }

    private void rejectOrFail(Request request) {
        if (request.mayBeRejected()) {
            reject(request.id(), 0);
        } else {
            fail(request.id());
        }
    }
}

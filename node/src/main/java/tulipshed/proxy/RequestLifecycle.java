package tulipshed.proxy;

import java.util.List;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import tulipshed.limits.Limits;

/**
 * Takes requests from their arrival to their one final response: by decision, at the deadline, when the client
 * disconnects, or at shutdown. Confined to the event-loop thread.
 */
final class RequestLifecycle {
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
        double decisionDueMs = request.deadlineMs() - limits.requests().responseMarginMs();
        request.setDeadlineTimer(events.schedule(decisionDueMs, () -> failUndecided(request)));
        events.add((balancer, nowMs, nowUs) -> {
            request.assignPool(routing.poolOf(request));
            balancer.requestArrived(nowUs, request.toNewRequest(nowMs, request.classIndex()));
        });
    }

    /** The decision module decides in time by itself; should it not, the client still gets its one response. */
    private void failUndecided(Request request) {
        if (!request.isPending() || request.attempt() != null) {
            return;
        }
        log.warn("request " + request.id() + " failed: no decision before its deadline");
        responses.fail(request);
        events.add((balancer, nowMs, nowUs) -> {
            balancer.requestCancelled(nowUs, request.id());
            table.removeIfFinished(request);
        });
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
        events.add((balancer, nowMs, nowUs) -> {
            balancer.requestCancelled(nowUs, request.id());
            // The decision module cancels the attempt where the site allows that; nobody waits for it either way.
            events.defer(() -> attempts.cancelOpen(request));
            table.removeIfFinished(request);
        });
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

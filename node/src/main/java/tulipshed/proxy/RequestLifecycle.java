package tulipshed.proxy;

import java.util.List;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import tulipshed.limits.Limits;
import tulipshed.time.Clock;

/**
 * Manages requests from their arrival to their single final response, which follows a decision, the deadline or a shutdown.
 * A request whose client disconnects ends without a response. Confined to the event-loop thread.
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

    /** Accepts a new request, which gets exactly one final response unless its client disconnects first. */
    void arrived(Request request) {
        routing.classify(request);
        responses.startTracking(request);
        table.register(request);
        scheduleDecisionTimeout(decisionDeadlineMs(request), request);
        events.add((balancer, nowMs, nowUs) -> {
            request.assignPool(routing.poolOf(request));
            balancer.requestArrived(nowUs, request.toNewRequest(nowMs, request.classIndex()));
        });
    }

    /** The deadline less the response margin; if the timeout is no longer than the margin, half of the timeout from now. */
    private double decisionDeadlineMs(Request request) {
        double nowMs = clock.nowMs();
        double atMs = request.deadlineMs() - limits.requests().responseMarginMs();
        return atMs > nowMs ? atMs : (nowMs + request.deadlineMs()) / 2;
    }

    private void scheduleDecisionTimeout(double atMs, Request request) {
        request.setDeadlineTimer(events.schedule(atMs, () -> decisionTimedOut(request)));
    }

    private void decisionTimedOut(Request request) {
        if (request.attempt() != null && clock.nowMs() < request.deadlineMs()) {
            // The attempt times out at the same time; the decision that follows has until the deadline of the client.
            scheduleDecisionTimeout(request.deadlineMs(), request);
        } else {
            // Deferred, so that decisions on events that have already occurred are carried out first.
            events.add((balancer, nowMs, nowUs) -> events.defer(() -> failUndecided(request)));
        }
    }

    /** Guarantees a final response if the decision module, which should decide before the deadline, has not. */
    private void failUndecided(Request request) {
        if (request.isPending()) {
            log.warn("request " + request.id() + " failed: no decision before its deadline");
            responses.fail(request);
            cancel(request);
        }
    }

    /** Ends a request whose client disconnected; no effect if it already has its final response. */
    void clientDisconnected(Request request) {
        if (!request.isPending()) {
            return;
        }
        responses.complete(request);
        if (!request.hasId()) {
            // An adopted connection that still awaits its endpoint; it has not been reported to the decision module.
            return;
        }
        cancel(request);
    }

    /** Notifies the decision module that no client waits for a response any more, and cancels the open attempt, if any. */
    private void cancel(Request request) {
        events.add((balancer, nowMs, nowUs) -> {
            events.defer(() -> cancelAttemptAndRemove(request));
            balancer.requestCancelled(nowUs, request.id());
        });
    }

    /**
     * Cancels the open attempt and removes the request. Deferred, as the same batch may contain the decision to start an
     * attempt, which is reported as unused only while the request is in the table. Without that report the decision module
     * would count the attempt at its endpoint forever.
     */
    private void cancelAttemptAndRemove(Request request) {
        attempts.cancelOpen(request);
        table.removeIfFinished(request);
    }

    /** Rejects the request with that id if it is still pending. */
    void reject(long requestId, double retryAfterMs) {
        respond(requestId, request -> responses.reject(request, retryAfterMs));
    }

    /** Fails the request with that id if it is still pending. */
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

    /** Sends the client of every pending request its final response: a rejection if a retry is harmless, otherwise a failure. */
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

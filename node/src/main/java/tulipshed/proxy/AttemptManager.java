package tulipshed.proxy;

import org.jboss.logging.Logger;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;
import tulipshed.limits.Limits;
import tulipshed.time.Clock;

/**
 * Starts attempts, enforces their timeouts and ends them. A request has at most one open attempt, and each attempt ends
 * exactly once, with one event to the decision module. Confined to the event-loop thread.
 */
final class AttemptManager {
    private final Logger log;
    private final Clock clock;
    private final Limits limits;
    private final ActiveSettings settings;
    private final EventBatch events;
    private final RequestTable table;
    private final FinalResponses responses;
    private final EndpointRegistry endpoints;
    private final EstablishedConnections established;

    AttemptManager(
            CoreContext context,
            RequestTable table,
            FinalResponses responses,
            EndpointRegistry endpoints,
            EstablishedConnections established) {
        this.log = context.log().logger(CoreContext.LOG_SUBJECT);
        this.clock = context.clock();
        this.limits = context.limits();
        this.settings = context.settings();
        this.events = context.events();
        this.table = table;
        this.responses = responses;
        this.endpoints = endpoints;
        this.established = established;
    }

    /**
     * Starts the next attempt of a request, as the decision module decided. Reports the attempt to it as UNUSED if it may not
     * start, and as CONNECT_FAILED if the endpoint is not available. No effect if the request is no longer in the table.
     *
     * @param timeoutMs the time until the attempt must be established; 0 for the time left to the deadline, less the
     *     response margin
     */
    void start(long requestId, String endpointId, double timeoutMs) {
        Request request = table.find(requestId);
        if (request == null) {
            return;
        }
        double nowMs = clock.nowMs();
        Endpoint endpoint = endpoints.getOrCreate(endpointId);
        double establishByMs = establishmentDeadlineMs(request, nowMs, timeoutMs);
        if (!mayStart(request, nowMs, establishByMs)) {
            reportUnused(request);
            return;
        }
        Attempt attempt = new Attempt(request, endpoint, request.attemptCount(), nowMs, establishByMs);
        request.setOpenAttempt(attempt);
        if (!endpoint.isAvailable()) {
            ended(attempt, Outcome.CONNECT_FAILED, LoadReport.NONE);
            return;
        }
        attempt.setTimers(
                events.schedule(establishByMs, () -> establishmentTimedOut(attempt)),
                events.schedule(nowMs + settings.connectTimeoutMs(), () -> connectTimedOut(attempt)));
        request.connector().open(attempt);
    }

    private double establishmentDeadlineMs(Request request, double nowMs, double timeoutMs) {
        double deadlineMs = request.deadlineMs() - limits.requests().responseMarginMs();
        return timeoutMs > 0 ? Math.min(deadlineMs, nowMs + timeoutMs) : deadlineMs;
    }

    private boolean mayStart(Request request, double nowMs, double establishByMs) {
        return request.isPending()
                && request.attempt() == null
                && establishByMs > nowMs
                && request.attemptCount() < settings.maxAttempts();
    }

    /** Notifies the decision module that the attempt it decided on was not started. */
    private void reportUnused(Request request) {
        int number = request.attemptCount();
        events.add((balancer, nowMs, nowUs) -> balancer.attemptEnded(
                nowUs, request.id(), number, !request.isPending(), Outcome.UNUSED, LoadReport.NONE));
    }

    /**
     * Creates and registers the attempt of an adopted connection; the caller passes it to the connector. The attempt must be
     * established by {@code establishByMs}; it has no separate connect timeout, as the endpoint may still be starting.
     */
    Attempt createAdopted(Request request, Endpoint endpoint, double nowMs, double establishByMs) {
        Attempt attempt = new Attempt(request, endpoint, 0, nowMs, establishByMs);
        request.setOpenAttempt(attempt);
        attempt.setTimers(events.schedule(attempt.establishByMs(), () -> establishmentTimedOut(attempt)), null);
        return attempt;
    }

    /** See {@link ProxyCore#mayForward}. */
    boolean mayForward(Attempt attempt) {
        Request request = attempt.request();
        double nowMs = clock.nowMs();
        boolean isInTime = attempt.remainingWaitMs(nowMs) > 0 && request.mayForward(nowMs);
        if (!attempt.isEnded() && !isInTime) {
            ended(attempt, Outcome.UNUSED, LoadReport.NONE);
            return false;
        }
        attempt.markConnected();
        boolean forwards = !attempt.isEnded() && request.isPending() && endpointAccepts(attempt);
        log.tracef(
                "attempt %d of request %d to %s may be forwarded: %s",
                attempt.number(), request.id(), attempt.endpoint().id(), forwards);
        return forwards;
    }

    private static boolean endpointAccepts(Attempt attempt) {
        Request request = attempt.request();
        boolean resumesWhileDraining =
                request.isAdopted() && !request.connector().mustLeaveDrainingEndpoint();
        return attempt.endpoint().isServing() || resumesWhileDraining;
    }

    /** See {@link ProxyCore#attemptEstablished}. */
    boolean established(Attempt attempt) {
        Request request = attempt.request();
        if (attempt.isEnded() || !request.isPending()) {
            return false;
        }
        responses.established(request);
        established.add(request, attempt.endpoint());
        attempt.markConnected();
        attempt.markEstablished(clock.nowMs());
        if (!request.isAdopted()) {
            long setupTimeUs = Clock.toMicros(attempt.establishedMs() - attempt.startedMs());
            events.add((balancer, nowMs, nowUs) ->
                    balancer.attemptEstablished(nowUs, request.id(), attempt.number(), setupTimeUs));
        }
        return true;
    }

    /** Ends an attempt; no effect if it has already ended. */
    void ended(Attempt attempt, Outcome outcome, LoadReport report) {
        if (attempt.isEnded()) {
            return;
        }
        attempt.markEnded();
        Request request = attempt.request();
        request.clearOpenAttempt();
        if (!outcome.neverExecuted) {
            request.recordExecution(attempt.startedMs());
        }
        if (request.isEstablished()) {
            responses.complete(request);
            established.remove(request);
        } else if (request.isAdopted() && request.isPending()) {
            // The decision module counts an adopted connection as established and makes no decision on its final
            // response.
            responses.fail(request);
        }
        events.add((balancer, nowMs, nowUs) -> {
            balancer.attemptEnded(nowUs, request.id(), attempt.number(), !request.isPending(), outcome, report);
            table.removeIfFinished(request);
        });
    }

    /** See {@link ProxyCore#latencyReported}. */
    void latencyReported(Attempt attempt, double latencyMs) {
        if (!attempt.isEnded()) {
            long requestId = attempt.request().id();
            events.add((balancer, nowMs, nowUs) -> balancer.latencyReported(nowUs, requestId, latencyMs));
        }
    }

    /** See {@link ProxyCore#loadReported}. */
    void loadReported(Attempt attempt, double loadUsPerS) {
        if (!attempt.isEnded()) {
            long requestId = attempt.request().id();
            events.add((balancer, nowMs, nowUs) -> balancer.loadReported(nowUs, requestId, loadUsPerS));
        }
    }

    /** Cancels the open attempt of that request if it has this number and is not established. */
    void cancel(long requestId, int attemptNumber) {
        Request request = table.find(requestId);
        if (request != null && request.attempt() != null && request.attempt().number() == attemptNumber) {
            cancelOpen(request);
        }
    }

    /** Cancels the open attempt of a request if there is one and it is not established. */
    void cancelOpen(Request request) {
        Attempt attempt = request.attempt();
        if (attempt != null && !request.isEstablished()) {
            abandon(attempt, Outcome.CANCELLED);
        }
    }

    /** Ends an attempt on the initiative of the node: the connector closes it first. */
    void abandon(Attempt attempt, Outcome outcome) {
        attempt.request().connector().abandon(attempt);
        ended(attempt, outcome, LoadReport.NONE);
    }

    private void establishmentTimedOut(Attempt attempt) {
        if (!attempt.isEnded() && !attempt.request().isEstablished()) {
            // If the attempt was never connected, no byte of the request has reached the endpoint.
            abandon(attempt, attempt.isConnected() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }
    }

    private void connectTimedOut(Attempt attempt) {
        if (!attempt.isEnded() && !attempt.isConnected()) {
            abandon(attempt, Outcome.CONNECT_FAILED);
        }
    }
}

package tulipshed.proxy;

import java.util.LinkedHashSet;
import java.util.Set;
import tulipshed.limits.RequestLimits;
import tulipshed.time.Clock;

/**
 * Resumes connections that were established at an endpoint before this node started. Confined to the event-loop thread.
 *
 * <p>The cached endpoint list may be older than the connection. An endpoint that it does not name yet is waited for, but
 * only briefly once discovery has delivered its own list.
 */
final class ConnectionAdopter {
    private final Clock clock;
    private final RequestLimits limits;
    private final ActiveSettings settings;
    private final EventBatch events;
    private final RequestTable table;
    private final FinalResponses responses;
    private final RequestRouting routing;
    private final EndpointRegistry endpoints;
    private final AttemptManager attempts;

    /** Requests whose endpoint is waited for; the table does not have them yet. */
    private final Set<Request> waiting = new LinkedHashSet<>();

    ConnectionAdopter(
            CoreContext context,
            RequestTable table,
            FinalResponses responses,
            RequestRouting routing,
            EndpointRegistry endpoints,
            AttemptManager attempts) {
        this.clock = context.clock();
        this.limits = context.limits().requests();
        this.settings = context.settings();
        this.events = context.events();
        this.table = table;
        this.responses = responses;
        this.routing = routing;
        this.endpoints = endpoints;
        this.attempts = attempts;
    }

    /** Resumes a connection at the endpoint of that id, now or once the endpoint list names it. */
    void adopt(Request request, String endpointId) {
        routing.classify(request);
        responses.expect(request);
        resume(request, endpointId, clock.nowMs());
    }

    private void resume(Request request, String endpointId, double arrivedMs) {
        Endpoint endpoint = endpoints.find(endpointId);
        double nowMs = clock.nowMs();
        waiting.remove(request);
        if (!request.isPending()) {
            return;
        }
        if (endpoint != null && endpoint.address() != null) {
            open(request, endpoint, nowMs, arrivedMs + limits.adoptionTimeoutMs());
        } else if (nowMs < arrivedMs + endpointTimeoutMs()) {
            waiting.add(request);
            events.schedule(nowMs + limits.unknownEndpointPollMs(), () -> resume(request, endpointId, arrivedMs));
        } else {
            responses.fail(request);
        }
    }

    /** Answers the requests whose endpoint is still waited for, before the node exits: they cannot be resumed here. */
    void failAllWaiting() {
        waiting.stream().filter(Request::isPending).forEach(responses::fail);
        waiting.clear();
    }

    private double endpointTimeoutMs() {
        return endpoints.isListReceived() ? limits.unlistedEndpointTimeoutMs() : limits.adoptionTimeoutMs();
    }

    private void open(Request request, Endpoint endpoint, double nowMs, double endsMs) {
        table.register(request);
        Attempt attempt = attempts.createAdopted(request, endpoint, nowMs, endsMs);
        // The settings may have dropped its class while it waited. It is not retried, so that any class serves.
        int classIndex = Math.max(0, settings.indexOfClass(request.className()));
        events.add((balancer, eventMs, nowUs) -> {
            request.assignPool(routing.poolOf(request));
            balancer.connectionAdopted(nowUs, request.toNewRequest(eventMs, classIndex), endpoint.id());
        });
        events.defer(() -> request.connector().open(attempt));
    }
}

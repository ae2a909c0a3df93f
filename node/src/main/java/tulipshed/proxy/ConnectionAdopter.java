package tulipshed.proxy;

import java.util.LinkedHashSet;
import java.util.Set;
import tulipshed.limits.RequestLimits;
import tulipshed.time.Clock;

/**
 * Resumes connections that were established at an endpoint before this node started. Confined to the event-loop thread.
 *
 * <p>The cached endpoint list may be older than the connection and may lack its endpoint. The endpoint is then awaited, but
 * only briefly once discovery has delivered a list.
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

    /** Requests whose endpoint is awaited; they are not in the table yet. */
    private final Set<Request> awaitingEndpoint = new LinkedHashSet<>();

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

    /**
     * Resumes a connection at the endpoint with that id, as soon as the address of the endpoint is known. Fails the request if
     * the address does not become known in time.
     */
    void adopt(Request request, String endpointId) {
        routing.classify(request);
        responses.startTracking(request);
        resume(request, endpointId, clock.nowMs());
    }

    private void resume(Request request, String endpointId, double arrivedMs) {
        Endpoint endpoint = endpoints.find(endpointId);
        double nowMs = clock.nowMs();
        awaitingEndpoint.remove(request);
        if (!request.isPending()) {
            return;
        }
        if (endpoint != null && endpoint.address() != null) {
            open(request, endpoint, nowMs, arrivedMs + limits.adoptionTimeoutMs());
        } else if (nowMs < arrivedMs + endpointWaitMs()) {
            awaitingEndpoint.add(request);
            events.schedule(nowMs + limits.unknownEndpointPollMs(), () -> resume(request, endpointId, arrivedMs));
        } else {
            responses.fail(request);
        }
    }

    /** Fails the requests whose endpoint is still awaited, as the node exits before they can be resumed. */
    void failAllWaiting() {
        awaitingEndpoint.stream().filter(Request::isPending).forEach(responses::fail);
        awaitingEndpoint.clear();
    }

    private double endpointWaitMs() {
        return endpoints.isListReceived() ? limits.unlistedEndpointTimeoutMs() : limits.adoptionTimeoutMs();
    }

    private void open(Request request, Endpoint endpoint, double nowMs, double establishByMs) {
        table.register(request);
        Attempt attempt = attempts.createAdopted(request, endpoint, nowMs, establishByMs);
        // The class may have been removed from the settings meanwhile. Adopted connections are not retried, so any
        // class will do.
        int classIndex = Math.max(0, settings.indexOfClass(request.className()));
        events.add((balancer, eventMs, nowUs) -> {
            request.assignPool(routing.poolOf(request));
            balancer.connectionAdopted(nowUs, request.toNewRequest(eventMs, classIndex), endpoint.id());
        });
        events.defer(() -> request.connector().open(attempt));
    }
}

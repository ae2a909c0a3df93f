package tulipshed.proxy;

/** Sends each client its one final response, and counts it. Confined to the event-loop thread. */
final class FinalResponses {
    private final ActiveSettings settings;
    private final NodeMetrics metrics;

    FinalResponses(ActiveSettings settings, NodeMetrics metrics) {
        this.settings = settings;
        this.metrics = metrics;
    }

    /** Fixes the class of a request that arrived; from here on it counts as active until {@link #complete}. */
    void expect(Request request) {
        request.setRequestClass(settings.requestClass(request.classIndex()));
        metrics.recordArrival();
    }

    /** Counts a request whose connection is established now. */
    void established(Request request) {
        request.markEstablished();
        metrics.recordEstablished(request.className());
    }

    /** Completes a request without a response: its client or its connection is gone. */
    void complete(Request request) {
        request.complete();
        metrics.recordCompletion();
    }

    /** Fails a pending request; nothing is promised about its effect. */
    void fail(Request request) {
        complete(request);
        metrics.recordFailed(request.className());
        request.client().fail();
    }

    /** Rejects a pending request, of which a retry is harmless; {@code retryAfterMs} is 0 for no delay. */
    void reject(Request request, double retryAfterMs) {
        complete(request);
        metrics.recordRejected(request.className());
        request.client().reject(retryAfterMs);
    }
}

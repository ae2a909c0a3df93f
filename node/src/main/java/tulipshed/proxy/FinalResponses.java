package tulipshed.proxy;

/**
 * Records and counts the outcome of each request, and sends rejections and failures to clients. Confined to the event-loop
 * thread.
 */
final class FinalResponses {
    private final ActiveSettings settings;
    private final NodeMetrics metrics;

    FinalResponses(ActiveSettings settings, NodeMetrics metrics) {
        this.settings = settings;
        this.metrics = metrics;
    }

    /** Sets the class of an arrived request, which counts as active until {@link #complete}. */
    void startTracking(Request request) {
        request.setRequestClass(settings.requestClass(request.classIndex()));
        metrics.recordArrival();
    }

    /** Marks a request as established and counts it. */
    void established(Request request) {
        request.markEstablished();
        metrics.recordEstablished(request.className());
    }

    /** Completes a request without a response, as its client has disconnected or its connection has ended. */
    void complete(Request request) {
        request.complete();
        metrics.recordCompletion();
    }

    /** Fails a pending request, which may have had an effect. */
    void fail(Request request) {
        complete(request);
        metrics.recordFailed(request.className());
        request.client().fail();
    }

    /** Rejects a pending request, a retry of which is harmless; {@code retryAfterMs} is 0 for no Retry-After. */
    void reject(Request request, double retryAfterMs) {
        complete(request);
        metrics.recordRejected(request.className());
        request.client().reject(retryAfterMs);
    }
}

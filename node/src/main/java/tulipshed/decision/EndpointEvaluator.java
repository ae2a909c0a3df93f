package tulipshed.decision;

/** Whether an endpoint may be sent a request, and how loaded it would be with it. */
final class EndpointEvaluator {
    private final OutlierEjection outlierEjection;
    private final SlowStart slowStart;

    EndpointEvaluator(OutlierEjection outlierEjection, SlowStart slowStart) {
        this.outlierEjection = outlierEjection;
        this.slowStart = slowStart;
    }

    /** Whether an endpoint is eligible and may be sent this request. */
    boolean isUsable(long now, RequestState request, EndpointState endpoint) {
        return outlierEjection.isEligible(now, request.pool, endpoint) && isPermitted(now, request, endpoint);
    }

    /** Whether an endpoint may be sent this request, be it ejected or not. */
    boolean isPermitted(long now, RequestState request, EndpointState endpoint) {
        return endpoint != request.previousEndpoint
                && RetryPolicy.permitsEndpoint(request, endpoint)
                && !slowStart.isLimitedBySlowStart(now, request, endpoint);
    }

    /** Whether the first endpoint would be less loaded than the second. */
    static boolean isLighter(RequestState request, EndpointState first, EndpointState second) {
        return loadPerWeight(request, first) < loadPerWeight(request, second);
    }

    /** The part of the load of the request's pool that an endpoint would have if all were loaded evenly. */
    static double evenLoad(EndpointPool pool, EndpointState endpoint) {
        return endpoint.weight() * pool.load / Math.max(1e-9, pool.weight);
    }

    /**
     * Load per weight with the request, which counts for no more than the even load: large endpoints would otherwise
     * win nearly always while the load is low. An endpoint that has established nothing counts as evenly loaded, as
     * all balancers would send to it at once.
     */
    private static double loadPerWeight(RequestState request, EndpointState endpoint) {
        if (endpoint.pending >= endpoint.pendingLimit) {
            return Double.MAX_VALUE;
        }
        double evenLoad = evenLoad(request.pool, endpoint);
        double load = endpoint.hasEstablished ? endpoint.openLoad : Math.max(endpoint.openLoad, evenLoad);
        return (load + Math.min(request.load, evenLoad)) / endpoint.weight();
    }
}

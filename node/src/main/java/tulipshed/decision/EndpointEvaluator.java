package tulipshed.decision;

/** Whether an endpoint may be sent a request, and how loaded it would be with it. */
record EndpointEvaluator(OutlierEjection outlierEjection, SlowStart slowStart) {
    /** Whether an endpoint is eligible and may be sent this request. */
    boolean isUsable(long nowUs, RequestState request, EndpointState endpoint) {
        return outlierEjection.isEligible(nowUs, request.pool, endpoint) && isPermitted(nowUs, request, endpoint);
    }

    /** Whether an endpoint may be sent this request, be it ejected or not. */
    boolean isPermitted(long nowUs, RequestState request, EndpointState endpoint) {
        return endpoint != request.previousEndpoint
                && RetryPolicy.permitsEndpoint(request, endpoint)
                && !slowStart.isLimitedBySlowStart(nowUs, request, endpoint);
    }

    /** The endpoint that would be less loaded with the request; the first if both are equal. */
    static EndpointState lighter(RequestState request, EndpointState first, EndpointState second) {
        return loadPerWeight(request, second) < loadPerWeight(request, first) ? second : first;
    }

    /**
     * The request counts for no more than an even load: large endpoints would win nearly always at low load. An endpoint
     * that the list has not named yet has no weight and counts as full.
     */
    private static double loadPerWeight(RequestState request, EndpointState endpoint) {
        boolean hasWeight = endpoint.machineType != null;
        if (!hasWeight || endpoint.pending >= endpoint.pendingLimit) {
            return Double.MAX_VALUE;
        }
        double evenLoad = endpoint.weight() * request.pool.load / request.pool.nonZeroWeight();
        // A new endpoint counts as evenly loaded, as all balancers would otherwise send to it at once.
        double load = endpoint.hasEstablished ? endpoint.openLoad : Math.max(endpoint.openLoad, evenLoad);
        return (load + Math.min(request.load, evenLoad)) / endpoint.weight();
    }
}

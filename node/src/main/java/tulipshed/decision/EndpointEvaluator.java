package tulipshed.decision;

/** Evaluates whether an endpoint may receive a request, and how loaded it would be with it. */
record EndpointEvaluator(OutlierEjection outlierEjection, SlowStart slowStart) {
    /** Whether an endpoint is eligible and may receive this request. */
    boolean isUsable(long nowUs, RequestState request, EndpointState endpoint) {
        return outlierEjection.isEligible(nowUs, request.pool, endpoint) && isPermitted(nowUs, request, endpoint);
    }

    /** Whether an endpoint may receive this request, regardless of ejection. */
    boolean isPermitted(long nowUs, RequestState request, EndpointState endpoint) {
        return endpoint != request.previousEndpoint
                && RetryPolicy.permitsEndpoint(request, endpoint)
                && !slowStart.isLimitedBySlowStart(nowUs, request, endpoint);
    }

    /** The endpoint that would be less loaded with the request; the first if both are equal. */
    static EndpointState lessLoaded(RequestState request, EndpointState first, EndpointState second) {
        return loadPerWeight(request, second) < loadPerWeight(request, first) ? second : first;
    }

    /**
     * The load per weight with the request added. The request counts for at most an even load, as large endpoints would
     * otherwise be chosen nearly always at low load. An endpoint that is not listed yet has no weight and counts as
     * full.
     */
    private static double loadPerWeight(RequestState request, EndpointState endpoint) {
        boolean hasWeight = endpoint.machineType != null;
        if (!hasWeight || endpoint.pending >= endpoint.pendingLimit) {
            return Double.MAX_VALUE;
        }
        double evenLoad = endpoint.weight() * request.pool.load / request.pool.nonZeroWeight();
        // A recently started endpoint to which this balancer has established no connection counts as evenly loaded;
        // otherwise all balancers would choose it at once.
        double load = endpoint.hasEstablished ? endpoint.openLoad : Math.max(endpoint.openLoad, evenLoad);
        return (load + Math.min(request.load, evenLoad)) / endpoint.weight();
    }
}

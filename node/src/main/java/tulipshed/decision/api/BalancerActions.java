package tulipshed.decision.api;

/** Receives the balancer's actions in the order in which they are decided. */
public interface BalancerActions {
    /** Pseudo-index that addresses all other balancers of the tier. */
    int ALL_PEERS = -1;

    /**
     * Starts the next attempt of a request.
     *
     * @param timeoutUs time within which the attempt must be established, in microseconds; 0 for the deadline of
     *     the request
     */
    void startAttempt(long requestId, String endpointId, long timeoutUs);

    /** Cancels an attempt that is not established; {@code attempt} is its number, from 0 on. */
    void cancelAttempt(long requestId, int attempt);

    /**
     * Sends the final response that the request is rejected and safe to retry.
     *
     * @param retryAfterUs the time after which to retry, in microseconds; at least 0
     */
    void reject(long requestId, long retryAfterUs);

    /** Sends the final response that the request failed; it may have executed. */
    void fail(long requestId);

    /** Closes an established connection gracefully, so that its client reconnects. */
    void migrate(long requestId);

    /**
     * Schedules {@link BalancerApi#timerFired}.
     *
     * @param afterUs delay, in microseconds; at least 0
     * @param token token that the event passes back
     */
    void scheduleTimer(long afterUs, long token);

    /** Starts a health check of an endpoint; {@link BalancerApi#healthCheckCompleted} follows. */
    void startHealthCheck(String endpointId);

    /**
     * Sends a datagram of 1 to 256 bytes to the balancer of this index, or to all others with
     * {@link #ALL_PEERS}. It may be delayed or lost; it is dropped if the settings permit no peer messages.
     */
    void sendToPeer(int peerIndex, byte[] body);

    /** Starts or renews the subscription to changes of the endpoint list. */
    void watchEndpoints();

    /** Writes a line to the operator's log. */
    void log(String message);
}

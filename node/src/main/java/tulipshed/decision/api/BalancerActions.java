package tulipshed.decision.api;

/** Receives all decisions, in the order in which they are taken. */
public interface BalancerActions {
    /** The index that addresses all other balancers of the tier. */
    int ALL_PEERS = -1;

    /**
     * Starts the next attempt of a request.
     *
     * @param timeoutUs how long it may take to be established, in microseconds; 0 for until the deadline of the request
     */
    void startAttempt(long requestId, String endpointId, long timeoutUs);

    /** Cancels the attempt of this number, from 0 on, which is not established. */
    void cancelAttempt(long requestId, int attempt);

    /**
     * Gives the final response that the request is rejected, and that a retry is harmless.
     *
     * @param retryAfterUs the time after which to retry, in microseconds; at least 0
     */
    void reject(long requestId, long retryAfterUs);

    /** Gives the final response that the request failed; it may have executed. */
    void fail(long requestId);

    /** Closes an established connection gracefully, so that its client reconnects. */
    void migrate(long requestId);

    /**
     * Schedules {@link BalancerApi#timerFired}.
     *
     * @param afterUs the time until then, in microseconds; at least 0
     * @param token what the event will carry
     */
    void scheduleTimer(long afterUs, long token);

    /** Starts a health check of an endpoint; {@link BalancerApi#healthCheckCompleted} follows. */
    void startHealthCheck(String endpointId);

    /**
     * Sends a datagram of 1 to 256 bytes to the balancer of this index, or to all others with
     * {@link #ALL_PEERS}. It may be late or lost; it is dropped where the settings permit no peer messages.
     */
    void sendToPeer(int peer, byte[] body);

    /** Starts or renews the subscription to changes of the endpoint list. */
    void watchEndpoints();

    /** Writes a line to the operator's log. */
    void log(String message);
}

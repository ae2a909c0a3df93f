package tulipshed.decision.api;

/** Receives all decisions, in the order in which they are taken. */
public interface BalancerActions {
    /** Number that stands for all other balancers of the tier. */
    int ALL_PEERS = -1;

    /** Starts the next attempt of a request; a time-out of 0 microseconds means until the client gives up. */
    void startAttempt(long requestId, String endpointId, long timeoutUs);

    /** Cancels an attempt that is not established. */
    void cancelAttempt(long requestId, int attempt);

    /** Final answer: rejected; a retry after the given time in microseconds, at least 0, is safe. */
    void reject(long requestId, long retryAfterUs);

    /** Final answer: failed; the request may have taken effect. */
    void fail(long requestId);

    /** Closes an established connection gracefully, so that its client reconnects. */
    void migrate(long requestId);

    /** Schedules {@link BalancerApi#timerFired} after the given time in microseconds. */
    void scheduleTimer(long afterUs, long token);

    /** Requests the load report of an endpoint. */
    void startHealthCheck(String endpointId);

    /**
     * Sends a datagram of 1 to 256 bytes to the balancer with this number, or to all others with
     * {@link #ALL_PEERS}. It may be late or lost; it is dropped where the settings permit no peer messages.
     */
    void sendToPeer(int peer, byte[] body);

    /** Starts or renews the subscription to changes of the endpoint list. */
    void watchEndpoints();

    /** Writes a line to the operator's log. */
    void log(String message);
}

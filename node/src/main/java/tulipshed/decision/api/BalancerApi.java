package tulipshed.decision.api;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Events and queries of one balancer for long-lived connections.
 *
 * <p>Every event carries {@code nowUs}, the time of a monotonic clock in microseconds with an arbitrary origin. Calls
 * must not overlap: an instance is confined to the thread of its event loop. Actions are passed to
 * {@link BalancerActions} before the event method returns. Events that name an unknown request or endpoint are ignored,
 * except that {@link #connectionAdopted} adds an unknown endpoint.
 */
public interface BalancerApi {

    /**
     * The discovery service delivered its endpoint list or a change to it, or failed to do so.
     *
     * @param entries the entries of the list or the change; empty after a failure
     */
    void endpointsChanged(long nowUs, EndpointListKind kind, List<EndpointInfo> entries);

    /** A client requests a connection; exactly one final response follows unless the request is cancelled. */
    void requestArrived(long nowUs, NewRequest request);

    /** A connection to this endpoint, which was established before this instance started, is adopted. */
    void connectionAdopted(long nowUs, NewRequest request, String endpointId);

    /**
     * The connection of an attempt is established.
     *
     * @param attempt number of the attempt, from 0 on
     * @param setupTimeUs time since the start of the attempt, in microseconds
     */
    void attemptEstablished(long nowUs, long requestId, int attempt, long setupTimeUs);

    /** The load of an established connection was reported, in microseconds of work per second; at least 0. */
    void loadReported(long nowUs, long requestId, double loadUsPerS);

    /** The latency of messages on an established connection was reported, in milliseconds; at least 0. */
    void latencyReported(long nowUs, long requestId, double latencyMs);

    /**
     * An attempt ended, established or not.
     *
     * @param attempt number of the attempt, from 0 on
     * @param concluded whether the client needs no further response
     * @param report the load report received with the result, or {@link LoadReport#NONE}
     */
    void attemptEnded(long nowUs, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report);

    /** The client disconnected and needs no response; {@link #attemptEnded} still follows for a started attempt. */
    void requestCancelled(long nowUs, long requestId);

    /** A health check started through {@link BalancerActions#startHealthCheck} completed. */
    void healthCheckCompleted(long nowUs, String endpointId, Outcome outcome, LoadReport report);

    /** A timer scheduled through {@link BalancerActions#scheduleTimer} expired. */
    void timerFired(long nowUs, long token);

    /** A message of 1 to 256 bytes arrived from the balancer of the index {@code senderIndex}. */
    void peerMessageReceived(long nowUs, int senderIndex, byte[] body);

    /** Replaces the settings; requests that arrived before keep their class. */
    void reconfigure(long nowUs, BalancerSettings settings);

    /**
     * Replaces the named pools of endpoints that requests may be restricted to. Pools may overlap, and may name
     * endpoints that are not on the list yet.
     */
    void poolsChanged(long nowUs, Map<String, Set<String>> endpointIdsByPool);

    /** Restricts a request that is not established to another pool, or to none if {@code pool} is null. */
    void requestRerouted(long nowUs, long requestId, String pool);

    /**
     * Returns the number of eligible endpoints in a pool or, for null, in total: ready and not ejected, or ejected but
     * responsive while most endpoints are ejected.
     */
    int eligibleCount(long nowUs, String pool);

    /** Sets this instance's share of the balancer's quotas, from 0 to 1; another process uses the rest. */
    void quotaShareChanged(long nowUs, double quotaShare);

    /**
     * Returns the number of listed endpoints that are not eligible: draining, or ejected while the ejection is not
     * ignored.
     */
    int ineligibleCount(long nowUs);
}

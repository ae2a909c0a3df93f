package tulipshed.decision.api;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Events and actions of the load balancer for long-lived connections.
 *
 * <p>One instance serves one balancer. Every event carries {@code now}, a monotonic clock in microseconds with an
 * arbitrary origin. Calls must not overlap: an instance is confined to the thread of its event loop. Decisions are
 * passed to {@link BalancerActions} before the event method returns. Events that name an unknown request or endpoint are
 * ignored.
 */
public interface BalancerApi {

    /** The endpoint list of the discovery service, a change to it, or the failure to get it. */
    void endpointsChanged(long now, EndpointListKind kind, List<EndpointInfo> entries);

    /** A client requests a connection; exactly one final answer follows unless the request is cancelled. */
    void requestArrived(long now, NewRequest request);

    /** A connection to the endpoint {@code endpointId} that was established before this instance started. */
    void connectionAdopted(long now, NewRequest request, String endpointId);

    /**
     * The connection of an attempt is established.
     *
     * @param attempt number of the attempt, from 0 on
     * @param tookUs time from the start of the attempt, in microseconds
     */
    void attemptEstablished(long now, long requestId, int attempt, long tookUs);

    /** The load of an established connection, in microseconds of work a second; at least 0. */
    void loadReported(long now, long requestId, double loadUsPerS);

    /** The latency of messages at the endpoint of this connection, in milliseconds; at least 0. */
    void latencyReported(long now, long requestId, double latencyMs);

    /**
     * An attempt ended, established or not.
     *
     * @param attempt number of the attempt, from 0 on
     * @param concluded whether the client needs no further answer
     * @param report the load report that came with the end, or {@link LoadReport#NONE}
     */
    void attemptEnded(long now, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report);

    /** The client disconnected and needs no answer; {@link #attemptEnded} still follows for a started attempt. */
    void requestCancelled(long now, long requestId);

    /** A health check started through {@link BalancerActions#startHealthCheck} completed. */
    void healthCheckCompleted(long now, String endpointId, Outcome outcome, LoadReport report);

    /** A timer scheduled through {@link BalancerActions#scheduleTimer} expired. */
    void timerFired(long now, long token);

    /** A message of 1 to 256 bytes from the balancer with the number {@code from}. */
    void peerMessageReceived(long now, int from, byte[] body);

    /** Replaces the settings; requests that arrived before keep their class. */
    void reconfigure(long now, BalancerSettings settings);

    /**
     * Replaces the named pools of endpoints that requests may be restricted to. Pools may overlap, and may name
     * endpoints that the list does not have yet.
     */
    void poolsChanged(long now, Map<String, Set<String>> members);

    /** Restricts a request that is not established to another pool, or to none if {@code pool} is null. */
    void requestRerouted(long now, long requestId, String pool);

    /** The number of ready endpoints that are not ejected, in a pool or, for null, in total. */
    int eligibleCount(long now, String pool);

    /** The share, from 0 to 1, that this instance has of the balancer's allowances; another process has the rest. */
    void quotaShareChanged(long now, double quotaShare);

    /** The number of listed endpoints that receive no new connections at present: draining or ejected ones. */
    int ineligibleCount(long now);
}

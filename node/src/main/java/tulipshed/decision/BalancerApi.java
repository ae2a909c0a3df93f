package tulipshed.decision;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Events and actions of the load balancer for long-lived connections.
 *
 * <p>One instance serves one balancer. Every event carries {@code now}, a monotonic clock in microseconds with an
 * arbitrary origin. Calls must not overlap: an instance is confined to the thread of its event loop. Decisions are
 * passed to {@link Actions} before the event method returns. Events that name an unknown request or endpoint are
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

    /** A health check started through {@link Actions#startHealthCheck} completed. */
    void healthCheckCompleted(long now, String endpointId, Outcome outcome, LoadReport report);

    /** A timer scheduled through {@link Actions#scheduleTimer} expired. */
    void timerFired(long now, long token);

    /** A message of 1 to 256 bytes from the balancer with the number {@code from}. */
    void peerMessageReceived(long now, int from, byte[] body);

    /** Replaces the settings; requests that arrived before keep their class. */
    void reconfigure(long now, Settings settings);

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

    /** Receives all decisions, in the order in which they are taken. */
    interface Actions {
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

    /** Meaning of the entries of a list event. */
    enum EndpointListKind {
        /** Changed entries only. */
        CHANGES,
        /** Complete list: absent endpoints are removed. */
        COMPLETE,
        /** Complete but possibly outdated list, kept from before a restart. */
        CACHED,
        /** A poll failed or the subscription broke; the known list stays valid. */
        FAILED
    }

    /** Lifecycle of an endpoint. */
    enum EndpointStatus {
        /** Accepts new connections. */
        SERVING,
        /** Keeps its connections and accepts no new ones. */
        DRAINING,
        /** No longer on the list. */
        REMOVED
    }

    /** Result of an attempt or health check. */
    enum Outcome {
        /** Completed. */
        OK(false),
        /** The endpoint reported an error. */
        ERROR(false),
        /** The endpoint rejected it, as it had no capacity. */
        FULL(true),
        /** No response in time. */
        TIMEOUT(false),
        /** The connection could not be opened. */
        CONNECT_FAILED(true),
        /** The connection broke. */
        RESET(false),
        /** Cancelled by this balancer or its client. */
        CANCELLED(false),
        /** Never sent, for a reason that says nothing of the endpoint. */
        UNUSED(true);

        /** Whether this outcome proves that the attempt had no effect. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Whether a request may be retried after it may have taken effect. */
    enum Idempotency {
        /** Always. */
        IDEMPOTENT,
        /** Where and while its idempotency key is known. */
        WITH_KEY,
        /** Never. */
        NOT_IDEMPOTENT
    }

    /** The endpoints that share their idempotency keys, and so discard each other's duplicates. */
    enum DeduplicationScope {
        /** All endpoints. */
        ALL,
        /** Those of one zone. */
        ZONE,
        /** Those of one cell. */
        CELL
    }

    /** Meaning of the weights in the endpoint list. */
    enum WeightSemantics {
        /** None. */
        NONE,
        /** Capacity, which is constant. */
        SIZE,
        /** Free capacity, which falls with the load. */
        LIVE
    }

    /** Source of load reports. */
    enum LoadReportSource {
        /** There are none. */
        NONE,
        /** They come with responses. */
        RESPONSES,
        /** They come with health checks. */
        HEALTH_CHECKS
    }

    /**
     * One entry of the endpoint list.
     *
     * @param weight relative capacity, by the {@link WeightSemantics} of the settings; at least 0
     * @param startedUs start of its process on the clock of the events, as far as the balancer knows it: never earlier than
     *     it was, but for starts listed before the balancer's own start by clocks that differ; may be negative; 0 if it has
     *     run for long; another value is another process
     */
    record EndpointInfo(
            String id,
            EndpointStatus status,
            String zone,
            int cell,
            String machineType,
            double weight,
            long startedUs) {}

    /**
     * A request for a connection.
     *
     * @param requestClass index of the class in the settings
     * @param tenant index of the tenant in the settings, -1 for none
     * @param key idempotency key, or null
     * @param group name of the connection group, or null
     * @param timeoutUs time in microseconds after which the client gives up
     * @param loadHintUsPerS expected load in microseconds of work a second, 0 if unknown
     * @param retry whether the client repeats a rejected request
     * @param exemptFromAdmission whether it continues earlier work and needs no token
     * @param reconnecting whether the client had a connection that was closed or broke
     * @param pool name of the pool it is restricted to, or null for all endpoints
     */
    record NewRequest(
            long id,
            int requestClass,
            int tenant,
            String key,
            String group,
            long timeoutUs,
            double loadHintUsPerS,
            boolean retry,
            boolean exemptFromAdmission,
            boolean reconnecting,
            String pool) {
        /** Creates a request that any endpoint may take. */
        @SuppressWarnings("checkstyle:ParameterNumber") // the components of the record
        public NewRequest(
                long id,
                int requestClass,
                int tenant,
                String key,
                String group,
                long timeoutUs,
                double loadHintUsPerS,
                boolean retry,
                boolean exemptFromAdmission,
                boolean reconnecting) {
            this(
                    id,
                    requestClass,
                    tenant,
                    key,
                    group,
                    timeoutUs,
                    loadHintUsPerS,
                    retry,
                    exemptFromAdmission,
                    reconnecting,
                    null);
        }
    }

    /**
     * The load report of an endpoint; a value that was not reported is NaN.
     *
     * @param inflight requests in flight
     * @param queue requests queued
     * @param cpu CPU use, from 0 to 1
     * @param latencyMs latency in milliseconds
     * @param rps requests a second
     * @param errorRps failed requests a second
     * @param load load relative to capacity
     * @param backlogS time in seconds to work off the queue
     */
    record LoadReport(
            double inflight,
            double queue,
            double cpu,
            double latencyMs,
            double rps,
            double errorRps,
            double load,
            double backlogS) {
        /** The report that has no value. */
        public static final LoadReport NONE = new LoadReport(
                Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /**
     * Settings of one balancer.
     *
     * @param nodeIndex number of this balancer in its tier, from 0 on
     * @param nodeCount number of balancers in the tier, at least 1
     * @param zone zone of this balancer
     * @param polledDiscovery whether the list must be polled or subscribed to, rather than being pushed
     * @param groupAffinity whether the connections of a group are kept together
     */
    record Settings(
            int nodeIndex,
            int nodeCount,
            String zone,
            boolean passThrough,
            boolean polledDiscovery,
            boolean groupAffinity,
            WeightSemantics weightSemantics,
            LoadReportSource loadReportSource,
            SiteLimits limits,
            ProtocolRules rules,
            Prices prices,
            List<RequestClass> classes,
            List<Tenant> tenants) {}

    /**
     * One class of requests; times are in microseconds.
     *
     * @param latencyObjectiveUs objective for establishing a connection
     * @param deadlineUs deadline for establishing a connection
     * @param priorityWeight relative worth of a served request
     * @param deduplicationWindowUs how long idempotency keys are kept
     * @param messageLatencyObjectiveUs objective for messages on established connections, 0 for none
     */
    record RequestClass(
            String name,
            long latencyObjectiveUs,
            long deadlineUs,
            double priorityWeight,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowUs,
            long messageLatencyObjectiveUs) {}

    /**
     * One tenant; quotas are for all balancers together, 0 if not stated.
     *
     * @param quotaShare share of the capacity, from 0 to 1
     * @param quotaPerS new connections a second
     * @param quotaConnections open connections
     */
    record Tenant(String name, double quotaShare, double quotaPerS, double quotaConnections) {}

    /**
     * What the site permits; times are in microseconds.
     *
     * @param maxAttempts attempts for one request, at least 1
     * @param maxRetryAfterUs longest retry-after time
     * @param cancellation whether attempts may be cancelled
     * @param retryAfter whether rejections carry a retry-after time
     * @param connectionIdleUs how long an unused connection stays open
     */
    record SiteLimits(
            int maxAttempts,
            long maxRetryAfterUs,
            boolean cancellation,
            boolean healthChecks,
            boolean peerMessages,
            boolean retryAfter,
            long connectTimeoutUs,
            long connectionIdleUs,
            int streamsPerConnection) {}

    /**
     * Parameters of the protocol rules; times are in microseconds.
     *
     * @param drainGraceUs time that a draining endpoint leaves its connections
     * @param pollWithinUs time within which the list must be polled first
     * @param slowStartShare share of its capacity that an endpoint has at its start, from 0 to 1
     * @param slowStartUs time after which an endpoint has its full capacity
     * @param overloadFactor multiple of the mean load at which an endpoint is overloaded
     * @param overloadUs time for which it bears that
     */
    record ProtocolRules(
            long drainGraceUs,
            long pollWithinUs,
            double slowStartShare,
            long slowStartUs,
            double overloadFactor,
            long overloadUs) {}

    /** Price of one unit of each, as a share of the total result; 0 if it is free. */
    record Prices(double crossZone, double handshake, double healthCheck, double migration, double waste) {}
}

package tulipshed.decision;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a balancer for long-lived connections is told, and what it decides.
 *
 * <p>One instance serves one balancer. Every event carries {@code now}, a clock in microseconds that starts
 * anywhere and never steps back. Calls must not overlap; decisions are handed to {@link Actions} before an
 * event method returns. Events that name a request or server no longer known are passed over.
 */
public interface BalancerApi {

    /** The discovery service's list, or a change to it. */
    void endpointsChanged(long now, EndpointListKind kind, List<EndpointInfo> entries);

    /** A client's request for a connection; exactly one final answer is owed for it. */
    void requestArrived(long now, NewRequest request);

    /** A connection that already stood on {@code server} when this instance started. */
    void connectionAdopted(long now, NewRequest request, String server);

    /** First sign of service: the connection of this attempt stands. */
    void attemptEstablished(long now, long requestId, int attempt, long tookUs);

    /** The load of a standing connection changed, in microseconds of work a second. */
    void loadReported(long now, long requestId, double loadUsPerS);

    /** Messages at this connection's server take long, in milliseconds. */
    void latencyReported(long now, long requestId, double delayMs);

    /** How an attempt ended; {@code concluded} when nothing more is owed to the client. */
    void attemptEnded(long now, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report);

    /** The client left; nothing more is owed. An outstanding attempt still gets its {@code finished}. */
    void requestCancelled(long now, long requestId);

    /** The answer to a probe. */
    void healthCheckCompleted(long now, String server, Outcome outcome, LoadReport report);

    /** A timer asked for through {@link Actions#scheduleTimer} is due. */
    void timerFired(long now, long token);

    /** A message from another balancer. */
    void peerMessageReceived(long now, int from, byte[] body);

    /** Other settings from now on; requests taken before keep their class. */
    void reconfigure(long now, Settings settings);

    /**
     * Pools of servers, by name, that requests may be held to; all that there are from now on. They may share
     * servers, and a name that the list does not know yet counts once it does.
     */
    void poolsChanged(long now, Map<String, Set<String>> members);

    /** A request that does not stand yet is held to another pool from now on, or to none where it is null. */
    void requestRerouted(long now, long requestId, String pool);

    /** How many servers of a pool, or of all for null, are ready and in favour. */
    int eligibleCount(long now, String pool);

    /** Of all that one balancer is allowed this instance has that share from now on; another has the rest. */
    void quotaShareChanged(long now, double ofBalancer);

    /** How many listed servers are sent nothing new at this time: they drain, or are out of favour. */
    int ineligibleCount(long now);

    /** Everything decided, in the order decided. */
    interface Actions {
        /** All other balancers of the tier. */
        int ALL_PEERS = -1;

        /** Starts the next attempt of a request; time-out 0 means until the client gives up. */
        void startAttempt(long requestId, String server, long timeoutUs);

        /** Stops waiting for an attempt. */
        void cancelAttempt(long requestId, int attempt);

        /** Final answer: refused, safe to try again after the given time. */
        void reject(long requestId, long retryAfterUs);

        /** Final answer: failed, with nothing promised about its effect. */
        void fail(long requestId);

        /** Ends a standing connection politely; its client comes again. */
        void migrate(long requestId);

        /** Asks for {@link BalancerApi#timerFired} after the given time. */
        void scheduleTimer(long afterUs, long token);

        /** Asks a server for its load report. */
        void startHealthCheck(String server);

        /**
         * Sends a datagram of 1 to 256 bytes to another balancer by its number, or to all others with
         * {@link #ALL_PEERS}. It may come late or not at all; where the settings allow none it goes nowhere.
         */
        void sendToPeer(int peer, byte[] body);

        /** Asks discovery to send the changes to the list from now on. */
        void watchEndpoints();

        /** A line for the operator's log. */
        void log(String message);
    }

    /** How a list event is to be read. */
    enum EndpointListKind {
        /** Changed entries only. */
        CHANGES,
        /** Complete: a server that is absent is gone. */
        COMPLETE,
        /** Complete, but possibly old: the list held before a restart. */
        CACHED,
        /** A call to discovery failed or the subscription broke; the list held stays valid. */
        FAILED
    }

    /** A server's place in its life. */
    enum EndpointStatus {
        SERVING,
        DRAINING,
        REMOVED
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        UNUSED(true);

        /** Whether this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Whether a request may be repeated. */
    enum Idempotency {
        IDEMPOTENT,
        WITH_KEY,
        NOT_IDEMPOTENT
    }

    /** The servers among which the repeats of a keyed request are discarded. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** What a server's share in the list means. */
    enum WeightSemantics {
        NONE,
        SIZE,
        LIVE
    }

    /** Where load reports come from. */
    enum LoadReportSource {
        NONE,
        RESPONSES,
        HEALTH_CHECKS
    }

    /** One server of the list; {@code startedUs} is 0 when it has run for long. */
    record EndpointInfo(
            String id,
            EndpointStatus status,
            String zone,
            int cell,
            String machineType,
            double weight,
            long startedUs) {}

    /** A request: class and tenant are indices into the settings, tenant -1 where there is none. */
    record NewRequest(
            long id,
            int requestClass,
            int tenant,
            String key,
            String group,
            long timeoutUs,
            double loadHintUsPerS,
            boolean retry,
            boolean midFlow,
            boolean reconnecting,
            String pool) {
        /** A request that any server may take. */
        public NewRequest(
                long id,
                int requestClass,
                int tenant,
                String key,
                String group,
                long graceUs,
                double hintUsPerS,
                boolean repeat,
                boolean midFlow,
                boolean returning) {
            this(id, requestClass, tenant, key, group, graceUs, hintUsPerS, repeat, midFlow, returning, null);
        }
    }

    /** A server's load report; a value that was not reported is NaN. */
    record LoadReport(
            double inflight,
            double queue,
            double cpu,
            double latencyMs,
            double rps,
            double errorRps,
            double load,
            double backlogS) {
        /** No report came. */
        public static final LoadReport NONE = new LoadReport(
                Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** All that an instance knows before its first event. */
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

    /** One class of requests. */
    record RequestClass(
            String name,
            long latencyObjectiveUs,
            long deadlineUs,
            double priorityWeight,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowUs,
            long messageLatencyObjectiveUs) {}

    /** One tenant; quotas are for all balancers together, 0 when not stated. */
    record Tenant(String name, double quotaShare, double quotaPerS, double quotaConnections) {}

    /** What the site permits. */
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

    /** Figures of the four rules. */
    record ProtocolRules(
            long drainGraceUs,
            long pollWithinUs,
            double slowStartShare,
            long slowStartUs,
            double overloadFactor,
            long overloadUs) {}

    /** What each unit costs, as a share of the whole result. */
    record Prices(double crossZone, double handshake, double healthCheck, double migration, double waste) {}
}

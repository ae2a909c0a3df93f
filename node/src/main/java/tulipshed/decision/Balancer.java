package tulipshed.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Hands the events of one balancer to the parts that decide, and keeps each request until its final answer. The
 * interface (events, actions and their types) is in BalancerApi.java; docs/design.md explains the decisions. A new
 * connection is admitted by its tenant's token bucket, which refills by the pending depth, and goes to the less loaded of
 * two random ready endpoints; each part states where it departs from that. Confined to the event-loop thread.
 */
public final class Balancer implements BalancerApi {
    private static final double MIN_QUOTA_SHARE = 1e-9; // not 0: an unlimited rate stays unlimited
    private static final double LOAD_GAIN = 0.1; // of a reported load in the average of its class
    private static final double UNREPORTED_LOAD = 1; // of a connection where no load is reported
    private static final long HOLD_US = 200_000; // between searches for a ready endpoint

    private final Actions actions;
    private final long hashSeed;
    private final ActiveSettings settings;
    private final EndpointPools pools = new EndpointPools(GroupAffinity.MEMORY_US);
    private final EndpointTable endpoints;
    private final AdmissionControl admission;
    private final RetryPolicy retryPolicy;
    private final OutlierEjection outlierEjection;
    private final Migration migration;
    private final GroupAffinity groupAffinity;
    private final ConnectionReuse connectionReuse;
    private final HealthCheckComparison healthChecks;
    private final Placement placement;
    private final DiscoveryPolling discoveryPolling;
    private final Map<Long, RequestState> requests = new HashMap<>();
    private final MovingAverages averageLoads = new MovingAverages(LOAD_GAIN);

    /**
     * Creates a balancer that knows no endpoint.
     *
     * @param seed seed of all random choices; the same seed and events give the same actions
     * @param now the clock of the events, in microseconds
     */
    public Balancer(Settings settings, long seed, long now, Actions actions) {
        SplittableRandom random = new SplittableRandom(seed);
        this.actions = actions;
        this.hashSeed = Hashing.mix(seed);
        this.settings = new ActiveSettings(settings);
        SlowStart slowStart = new SlowStart(this.settings, pools.allEndpoints);
        endpoints = new EndpointTable(this.settings, pools, slowStart);
        admission = new AdmissionControl(this.settings, pools.allEndpoints, random, actions);
        retryPolicy = new RetryPolicy(this.settings, random);
        outlierEjection = new OutlierEjection(this.settings, random);
        migration = new Migration(outlierEjection, random);
        EndpointEvaluator evaluator = new EndpointEvaluator(outlierEjection, slowStart);
        groupAffinity = new GroupAffinity(this.settings, outlierEjection, evaluator, averageLoads, random);
        connectionReuse = new ConnectionReuse(this.settings, pools.allEndpoints, evaluator);
        healthChecks = new HealthCheckComparison(this.settings, evaluator, actions);
        Placement.Rules rules = new Placement.Rules(
                slowStart, outlierEjection, evaluator, groupAffinity, connectionReuse, healthChecks);
        placement = new Placement(this.settings, endpoints, pools.allEndpoints, rules, random);
        discoveryPolling = new DiscoveryPolling(this.settings, random, actions);
        discoveryPolling.scheduleFirstPoll();
    }

    /** Requests that await a final answer or the end of an attempt; for tests. */
    int trackedRequestCount() {
        return requests.size();
    }

    /** Describes the sums that differ from a recount; empty if none does. For tests. */
    String inconsistencies() {
        return pools.inconsistencies(endpoints.all());
    }

    @Override
    public void reconfigure(long now, Settings changed) {
        settings.replace(changed);
        admission.settingsChanged();
    }

    @Override
    public void quotaShareChanged(long now, double share) {
        settings.quotaShare = Math.max(MIN_QUOTA_SHARE, share);
    }

    @Override
    public void endpointsChanged(long now, EndpointListKind kind, List<EndpointInfo> entries) {
        if (kind == EndpointListKind.FAILED) {
            discoveryPolling.scheduleNextPoll();
        } else {
            endpoints.update(now, kind, entries);
        }
    }

    @Override
    public void poolsChanged(long now, Map<String, Set<String>> members) {
        pools.setMembers(members, endpoints.all());
    }

    @Override
    public int eligibleCount(long now, String poolName) {
        return outlierEjection.countEligible(now, pools.get(poolName));
    }

    @Override
    public int ineligibleCount(long now) {
        return (int) endpoints.all().stream()
                .filter(endpoint -> !endpoint.removed && endpoint.info != null)
                .filter(endpoint -> !outlierEjection.isEligible(now, pools.allEndpoints, endpoint))
                .count();
    }

    @Override
    public void requestArrived(long now, NewRequest arrival) {
        RequestState request = track(now, arrival);
        long retryAfterUs = admission.admit(now, request);
        if (retryAfterUs == AdmissionControl.ADMITTED) {
            startAttempt(now, request);
        } else {
            reject(request, retryAfterUs);
        }
    }

    private RequestState track(long now, NewRequest arrival) {
        RequestClass requestClass = settings.current().classes().get(arrival.requestClass());
        double averageLoad = averageLoads.getOrDefault(requestClass.name(), UNREPORTED_LOAD);
        RequestState request =
                new RequestState(arrival, requestClass, pools.get(arrival.pool()), now, hashSeed, averageLoad);
        requests.put(arrival.id(), request);
        return request;
    }

    @Override
    public void requestRerouted(long now, long requestId, String pool) {
        RequestState request = requests.get(requestId);
        if (request != null && !request.established) {
            request.pool = pools.get(pool);
        }
    }

    @Override
    public void requestCancelled(long now, long requestId) {
        RequestState request = requests.get(requestId);
        if (request == null) {
            return;
        }
        boolean attemptPending = request.endpoint != null && !request.established && !request.concluded;
        if (attemptPending && settings.current().limits().cancellation()) {
            actions.cancelAttempt(requestId, request.attempts - 1);
        }
        conclude(request);
    }

    private void reject(RequestState request, long retryAfterUs) {
        actions.reject(request.arrival.id(), retryPolicy.retryAfterUs(retryAfterUs));
        conclude(request);
    }

    private void rejectOrFail(RequestState request, long retryAfterUs) {
        if (RetryPolicy.permitsRejection(request)) {
            reject(request, retryAfterUs);
        } else {
            actions.fail(request.arrival.id());
            conclude(request);
        }
    }

    private void conclude(RequestState request) {
        request.concluded = true;
        healthChecks.cancel(request);
        if (request.endpoint == null) {
            requests.remove(request.arrival.id());
        }
    }

    private void startAttempt(long now, RequestState request) {
        if (!retryPolicy.permitsAttempt(now, request)) {
            rejectOrFail(request, HOLD_US);
            return;
        }
        EndpointState endpoint = placement.choose(now, request);
        if (endpoint != null) {
            startAttempt(now, request, endpoint);
        } else if (request.pendingHealthChecks > 0) {
            resumeAfter(request, HealthCheckComparison.WAIT_US);
        } else if (request.pool.ready.isEmpty() && request.deadlineUs - now > 2 * HOLD_US) {
            resumeAfter(request, HOLD_US);
        } else {
            // All endpoints fail or are late: a later retry finds new reports.
            rejectOrFail(request, OutlierEjection.LATENCY_VALID_US);
        }
    }

    private void startAttempt(long now, RequestState request, EndpointState endpoint) {
        long timeoutUs = retryPolicy.attemptTimeoutUs(now, request);
        request.attempts++;
        request.endpoint = endpoint;
        request.healthChecked = false;
        request.established = false;
        request.sentAtUs = now;
        endpoint.slowStartCredit -= 1;
        endpoint.adjustLoad(1, 1, request.load);
        actions.startAttempt(request.arrival.id(), endpoint.name, timeoutUs);
    }

    private void resumeAfter(RequestState request, long delayUs) {
        actions.scheduleTimer(delayUs, request.arrival.id() << 1 | 1);
    }

    @Override
    public void timerFired(long now, long token) {
        if (token == DiscoveryPolling.TIMER_TOKEN) {
            actions.watchEndpoints();
            return;
        }
        RequestState request = requests.get(token >> 1);
        if (request != null && request.endpoint == null && !request.concluded) {
            startAttempt(now, request);
        }
    }

    @Override
    public void healthCheckCompleted(long now, String endpointId, Outcome outcome, LoadReport report) {
        EndpointState endpoint = endpoints.get(endpointId);
        if (endpoint == null) {
            return;
        }
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.TIMEOUT) {
            outlierEjection.recordFailedHealthCheck(now, endpoint);
        } else if (!Double.isNaN(report.load())) {
            endpoint.reportedLoad = report.load();
            endpoint.loadReportedAtUs = now;
        }
        healthChecks.recordCompleted(endpoint).forEach(request -> startAttempt(now, request));
    }

    @Override
    public void connectionAdopted(long now, NewRequest arrival, String endpointId) {
        RequestState request = track(now, arrival);
        EndpointState endpoint = endpoints.getOrCreate(endpointId);
        request.attempts = 1;
        request.established = true;
        request.endpoint = endpoint;
        endpoint.hasEstablished = true;
        endpoint.adjustLoad(1, 0, request.load);
        if (endpoint.machineType != null) {
            endpoint.machineType.recordAdoption(endpoints.machineTypes());
        }
        groupAffinity.recordEstablished(now, request);
    }

    @Override
    public void attemptEstablished(long now, long requestId, int attempt, long tookUs) {
        RequestState request = requests.get(requestId);
        if (request == null || request.endpoint == null || request.established) {
            return;
        }
        request.established = true;
        request.endpoint.hasEstablished = true;
        outlierEjection.recordSuccess(request.endpoint);
        request.endpoint.adjustLoad(0, -1, 0);
        PendingLimit.increase(request.endpoint);
        groupAffinity.recordEstablished(now, request);
        placement.recordSetup(request, tookUs);
    }

    @Override
    public void loadReported(long now, long requestId, double loadUsPerS) {
        RequestState request = requests.get(requestId);
        if (request != null && request.endpoint != null) {
            averageLoads.add(request.requestClass.name(), loadUsPerS);
            request.endpoint.adjustLoad(0, 0, loadUsPerS - request.load);
            request.load = loadUsPerS;
        }
    }

    @Override
    public void latencyReported(long now, long requestId, double latencyMs) {
        RequestState request = requests.get(requestId);
        if (request != null
                && request.endpoint != null
                && !request.concluded
                && migration.recordLatency(now, request.endpoint, latencyMs)) {
            actions.migrate(requestId);
            conclude(request);
        }
    }

    @Override
    public void attemptEnded(
            long now, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
        RequestState request = requests.get(requestId);
        if (request == null || request.endpoint == null) {
            return;
        }
        releaseEndpoint(now, request, outcome);
        if (concluded || request.concluded) {
            requests.remove(requestId);
        } else if (retryPolicy.isRetryWorthwhile(now, request, outcome)) {
            startAttempt(now, request);
        } else {
            rejectOrFail(request, HOLD_US);
        }
    }

    private void releaseEndpoint(long now, RequestState request, Outcome outcome) {
        EndpointState endpoint = request.endpoint;
        request.endpoint = null;
        request.previousEndpoint = endpoint;
        endpoint.adjustLoad(-1, request.established ? 0 : -1, -request.load);
        groupAffinity.recordEnded(request, endpoint);
        connectionReuse.recordEnded(now, endpoint, outcome, request.established);
        PendingLimit.recordOutcome(endpoint, outcome, request.established);
        outlierEjection.recordOutcome(now, endpoint, outcome);
        if (outcome == Outcome.RESET && request.established && endpoint.isReady()) {
            admission.recordDrop(now);
        }
        endpoints.forgetIfUnused(endpoint);
        if (!outcome.neverRan && !request.mayHaveRun) {
            request.mayHaveRun = true;
            request.ranOn = endpoint.info;
            request.ranAtUs = request.sentAtUs;
        }
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {}
}

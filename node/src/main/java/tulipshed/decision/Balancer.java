package tulipshed.decision;

import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;
import tulipshed.decision.api.RequestClass;

/**
 * Dispatches the events that api/BalancerApi.java declares to the components of one balancer. A new connection is admitted
 * by the token bucket of its tenant and pool, whose refill rate falls with the share of pending attempts, and goes to the
 * less loaded of two random ready endpoints; docs/design.md explains the deviations from that. Confined to the event-loop
 * thread.
 */
public final class Balancer implements BalancerApi {
    static final double LOAD_GAIN = 0.1; // weight of a reported load in the average of its class
    private static final double UNREPORTED_LOAD = 1; // without a report, a hint or an average of the class
    private static final double MIN_QUOTA_SHARE = 1e-9; // so that an infinite rate times the share is not NaN
    private static final long READY_RETRY_US = 200_000; // delay between searches for a ready endpoint

    private final BalancerActions actions;
    final BalancerParts parts;
    private final RequestTable requests;

    /** Creates a balancer without endpoints; the same seed and events give the same actions. */
    public Balancer(BalancerSettings settings, long seed, long nowUs, BalancerActions actions) {
        this.actions = actions;
        parts = new BalancerParts(settings, seed, nowUs, actions);
        requests = parts.requests;
        parts.discoveryPolling.scheduleFirstPoll();
    }

    @Override
    public void reconfigure(long nowUs, BalancerSettings settings) {
        parts.settings.replace(settings);
        parts.admission.settingsChanged();
    }

    @Override
    public void quotaShareChanged(long nowUs, double quotaShare) {
        parts.settings.quotaShare = Math.max(MIN_QUOTA_SHARE, quotaShare);
    }

    @Override
    public void endpointsChanged(long nowUs, EndpointListKind kind, List<EndpointInfo> entries) {
        if (kind == EndpointListKind.FAILED) {
            parts.discoveryPolling.scheduleNextPoll(nowUs);
        } else {
            if (kind != EndpointListKind.CACHED) {
                parts.discoveryPolling.listReceived(nowUs);
            }
            parts.endpoints.update(nowUs, kind, entries);
        }
    }

    @Override
    public void poolsChanged(long nowUs, Map<String, Set<String>> endpointIdsByPool) {
        parts.pools.replacePools(endpointIdsByPool, parts.endpoints.all());
    }

    @Override
    public int eligibleCount(long nowUs, String poolName) {
        EndpointPool pool = parts.pools.get(poolName);
        return pool.ready.size() - parts.outlierEjection.countIneligible(nowUs, pool);
    }

    @Override
    public int ineligibleCount(long nowUs) {
        return parts.endpoints.listedCount() - eligibleCount(nowUs, null);
    }

    @Override
    public void requestArrived(long nowUs, NewRequest arrival) {
        RequestState request = track(nowUs, arrival);
        long retryAfterUs = parts.admission.admit(nowUs, request);
        if (retryAfterUs == AdmissionControl.ADMITTED) {
            startAttempt(nowUs, request);
        } else {
            reject(request, retryAfterUs);
        }
    }

    private RequestState track(long nowUs, NewRequest arrival) {
        RequestClass requestClass = parts.settings.current().classes().get(arrival.requestClass());
        double load = parts.averageLoads.getOrDefault(requestClass.name(), UNREPORTED_LOAD);
        EndpointPool pool = parts.pools.get(arrival.pool());
        return requests.add(nowUs, arrival, requestClass, pool, load);
    }

    @Override
    public void requestRerouted(long nowUs, long requestId, String pool) {
        RequestState request = requests.get(requestId);
        if (request != null && !request.established) {
            request.pool = parts.pools.get(pool);
        }
    }

    @Override
    public void requestCancelled(long nowUs, long requestId) {
        RequestState request = requests.get(requestId);
        if (request != null) {
            if (request.isAttemptPending() && parts.settings.current().limits().cancellation()) {
                actions.cancelAttempt(requestId, request.attempts - 1);
            }
            requests.conclude(request);
        }
    }

    private void reject(RequestState request, long retryAfterUs) {
        actions.reject(request.arrival.id(), parts.retryPolicy.retryAfterUs(retryAfterUs));
        requests.conclude(request);
    }

    private void rejectOrFail(RequestState request, long retryAfterUs) {
        if (RetryPolicy.permitsRejection(request)) {
            reject(request, retryAfterUs);
        } else {
            actions.fail(request.arrival.id());
            requests.conclude(request);
        }
    }

    private void startAttempt(long nowUs, RequestState request) {
        if (!parts.retryPolicy.permitsAttempt(nowUs, request)) {
            rejectOrFail(request, READY_RETRY_US);
            return;
        }
        EndpointState endpoint = parts.placement.choose(nowUs, request);
        if (endpoint != null) {
            long timeoutUs = parts.retryPolicy.attemptTimeoutUs(nowUs, request);
            request.startAttempt(nowUs, endpoint);
            actions.startAttempt(request.arrival.id(), endpoint.name, timeoutUs);
        } else if (request.pendingHealthChecks > 0) {
            resumeAfter(request, HealthCheckComparison.WAIT_US);
        } else if (request.pool.ready.isEmpty() && request.deadlineUs - nowUs > 2 * READY_RETRY_US) {
            resumeAfter(request, READY_RETRY_US);
        } else {
            rejectOrFail(request, OutlierEjection.LATENCY_VALID_US); // by then latencies have been reported anew
        }
    }

    private void resumeAfter(RequestState request, long delayUs) {
        actions.scheduleTimer(delayUs, request.arrival.id() << 1 | 1);
    }

    @Override
    public void timerFired(long nowUs, long token) {
        if (token == DiscoveryPolling.TIMER_TOKEN) {
            actions.watchEndpoints();
            return;
        }
        RequestState request = requests.get(token >> 1);
        if (request != null && request.endpoint == null && !request.concluded) {
            startAttempt(nowUs, request);
        }
    }

    @Override
    public void healthCheckCompleted(long nowUs, String endpointId, Outcome outcome, LoadReport report) {
        EndpointState endpoint = parts.endpoints.get(endpointId);
        if (endpoint != null) {
            parts.outlierEjection.recordHealthCheck(nowUs, endpoint, outcome, report.load());
            requests.completeHealthCheck(endpoint).forEach(request -> startAttempt(nowUs, request));
        }
    }

    @Override
    public void connectionAdopted(long nowUs, NewRequest arrival, String endpointId) {
        RequestState request = track(nowUs, arrival);
        request.adopt(parts.endpoints.getOrCreate(endpointId));
        parts.endpoints.recordAdoption(request.endpoint);
        request.joinGroup(nowUs, parts.groupAffinity.groupOf(nowUs, request));
    }

    @Override
    public void attemptEstablished(long nowUs, long requestId, int attempt, long setupTimeUs) {
        RequestState request = requests.withEndpoint(requestId);
        if (request != null && !request.established) {
            request.establish();
            request.endpoint.clearFailures();
            PendingLimit.increase(request.endpoint);
            request.joinGroup(nowUs, parts.groupAffinity.groupOf(nowUs, request));
            parts.placement.recordSetup(request, setupTimeUs);
        }
    }

    @Override
    public void loadReported(long nowUs, long requestId, double loadUsPerS) {
        RequestState request = requests.withEndpoint(requestId);
        if (request != null) {
            parts.averageLoads.add(request.requestClass.name(), loadUsPerS);
            request.setLoad(loadUsPerS);
        }
    }

    @Override
    public void latencyReported(long nowUs, long requestId, double latencyMs) {
        RequestState request = requests.withEndpoint(requestId);
        boolean active = request != null && !request.concluded;
        if (active && parts.migration.recordLatency(nowUs, request.endpoint, latencyMs)) {
            actions.migrate(requestId);
            requests.conclude(request);
        }
    }

    @Override
    public void attemptEnded(
            long nowUs, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
        RequestState request = requests.withEndpoint(requestId);
        if (request == null) {
            return;
        }
        recordEnd(nowUs, request, request.endAttempt(outcome), outcome);
        if (concluded || request.concluded) {
            requests.remove(requestId);
        } else if (parts.retryPolicy.isRetryWorthwhile(nowUs, request, outcome)) {
            startAttempt(nowUs, request);
        } else {
            rejectOrFail(request, READY_RETRY_US);
        }
    }

    private void recordEnd(long nowUs, RequestState request, EndpointState endpoint, Outcome outcome) {
        parts.connectionReuse.recordEnded(nowUs, endpoint, outcome, request.established);
        PendingLimit.recordOutcome(endpoint, outcome, request.established);
        parts.outlierEjection.recordOutcome(nowUs, endpoint, outcome, nowUs - request.attemptStartedUs);
        if (outcome == Outcome.RESET && request.established && endpoint.isReady()) {
            parts.loadShedder.recordDrop(nowUs);
        }
        parts.endpoints.discardIfUnused(endpoint);
    }

    @Override
    public void peerMessageReceived(long nowUs, int senderIndex, byte[] body) {}
}

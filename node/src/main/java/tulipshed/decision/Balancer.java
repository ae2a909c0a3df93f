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
 * Hands the events of one balancer to its parts; the interface is in BalancerApi.java. A new connection is admitted by
 * its tenant's token bucket, which refills by the pending depth, and goes to the less loaded of two random ready
 * endpoints; docs/design.md explains where the parts depart from that. Confined to the event-loop thread.
 */
public final class Balancer implements BalancerApi {
    static final double LOAD_GAIN = 0.1; // weight of a reported load in the average of its class
    private static final double UNREPORTED_LOAD = 1; // of a connection where no load is reported
    private static final double MIN_QUOTA_SHARE = 1e-9; // not 0: an unlimited rate stays unlimited
    private static final long HOLD_US = 200_000; // between searches for a ready endpoint

    private final BalancerActions actions;
    final BalancerParts parts;
    private final RequestTable requests;

    /** Creates a balancer without endpoints; the same seed and events give the same actions. */
    public Balancer(BalancerSettings settings, long seed, long now, BalancerActions actions) {
        this.actions = actions;
        parts = new BalancerParts(settings, seed, actions);
        requests = parts.requests;
        parts.discoveryPolling.scheduleFirstPoll();
    }

    @Override
    public void reconfigure(long now, BalancerSettings changed) {
        parts.settings.replace(changed);
        parts.admission.settingsChanged();
    }

    @Override
    public void quotaShareChanged(long now, double quotaShare) {
        parts.settings.quotaShare = Math.max(MIN_QUOTA_SHARE, quotaShare);
    }

    @Override
    public void endpointsChanged(long now, EndpointListKind kind, List<EndpointInfo> entries) {
        if (kind == EndpointListKind.FAILED) {
            parts.discoveryPolling.scheduleNextPoll();
        } else {
            parts.endpoints.update(now, kind, entries);
        }
    }

    @Override
    public void poolsChanged(long now, Map<String, Set<String>> members) {
        parts.pools.setMembers(members, parts.endpoints.all());
    }

    @Override
    public int eligibleCount(long now, String poolName) {
        EndpointPool pool = parts.pools.get(poolName);
        return pool.ready.size() - parts.outlierEjection.countIneligible(now, pool);
    }

    @Override
    public int ineligibleCount(long now) {
        return parts.endpoints.listedCount() - eligibleCount(now, null);
    }

    @Override
    public void requestArrived(long now, NewRequest arrival) {
        RequestState request = track(now, arrival);
        long retryAfterUs = parts.admission.admit(now, request);
        if (retryAfterUs == AdmissionControl.ADMITTED) {
            startAttempt(now, request);
        } else {
            reject(request, retryAfterUs);
        }
    }

    private RequestState track(long now, NewRequest arrival) {
        RequestClass requestClass = parts.settings.current().classes().get(arrival.requestClass());
        double load = parts.averageLoads.getOrDefault(requestClass.name(), UNREPORTED_LOAD);
        EndpointPool pool = parts.pools.get(arrival.pool());
        return requests.add(now, arrival, requestClass, pool, load);
    }

    @Override
    public void requestRerouted(long now, long requestId, String pool) {
        RequestState request = requests.get(requestId);
        if (request != null && !request.established) {
            request.pool = parts.pools.get(pool);
        }
    }

    @Override
    public void requestCancelled(long now, long requestId) {
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

    private void startAttempt(long now, RequestState request) {
        if (!parts.retryPolicy.permitsAttempt(now, request)) {
            rejectOrFail(request, HOLD_US);
            return;
        }
        EndpointState endpoint = parts.placement.choose(now, request);
        if (endpoint != null) {
            long timeoutUs = parts.retryPolicy.attemptTimeoutUs(now, request);
            request.startAttempt(now, endpoint);
            actions.startAttempt(request.arrival.id(), endpoint.name, timeoutUs);
        } else if (request.pendingHealthChecks > 0) {
            resumeAfter(request, HealthCheckComparison.WAIT_US);
        } else if (request.pool.ready.isEmpty() && request.deadlineUs - now > 2 * HOLD_US) {
            resumeAfter(request, HOLD_US);
        } else {
            rejectOrFail(request, OutlierEjection.LATENCY_VALID_US); // a later retry finds new reports
        }
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
        EndpointState endpoint = parts.endpoints.get(endpointId);
        if (endpoint != null) {
            parts.outlierEjection.recordHealthCheck(now, endpoint, outcome, report.load());
            requests.completeHealthCheck(endpoint).forEach(request -> startAttempt(now, request));
        }
    }

    @Override
    public void connectionAdopted(long now, NewRequest arrival, String endpointId) {
        RequestState request = track(now, arrival);
        request.adopt(parts.endpoints.getOrCreate(endpointId));
        parts.endpoints.recordAdoption(request.endpoint);
        request.joinGroup(now, parts.groupAffinity.groupOf(now, request));
    }

    @Override
    public void attemptEstablished(long now, long requestId, int attempt, long tookUs) {
        RequestState request = requests.withEndpoint(requestId);
        if (request != null && !request.established) {
            request.establish();
            request.endpoint.clearFailures();
            PendingLimit.increase(request.endpoint);
            request.joinGroup(now, parts.groupAffinity.groupOf(now, request));
            parts.placement.recordSetup(request, tookUs);
        }
    }

    @Override
    public void loadReported(long now, long requestId, double loadUsPerS) {
        RequestState request = requests.withEndpoint(requestId);
        if (request != null) {
            parts.averageLoads.add(request.requestClass.name(), loadUsPerS);
            request.setLoad(loadUsPerS);
        }
    }

    @Override
    public void latencyReported(long now, long requestId, double latencyMs) {
        RequestState request = requests.withEndpoint(requestId);
        boolean active = request != null && !request.concluded;
        if (active && parts.migration.recordLatency(now, request.endpoint, latencyMs)) {
            actions.migrate(requestId);
            requests.conclude(request);
        }
    }

    @Override
    public void attemptEnded(
            long now, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
        RequestState request = requests.withEndpoint(requestId);
        if (request == null) {
            return;
        }
        recordEnd(now, request, request.endAttempt(outcome), outcome);
        if (concluded || request.concluded) {
            requests.remove(requestId);
        } else if (parts.retryPolicy.isRetryWorthwhile(now, request, outcome)) {
            startAttempt(now, request);
        } else {
            rejectOrFail(request, HOLD_US);
        }
    }

    private void recordEnd(long now, RequestState request, EndpointState endpoint, Outcome outcome) {
        parts.connectionReuse.recordEnded(now, endpoint, outcome, request.established);
        PendingLimit.recordOutcome(endpoint, outcome, request.established);
        parts.outlierEjection.recordOutcome(now, endpoint, outcome, now - request.sentAtUs);
        if (outcome == Outcome.RESET && request.established && endpoint.isReady()) {
            parts.loadShedder.recordDrop(now);
        }
        parts.endpoints.forgetIfUnused(endpoint);
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {}
}

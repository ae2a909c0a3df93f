package tulipshed.decision;

import java.util.List;
import java.util.SplittableRandom;
import tulipshed.decision.api.Tenant;

/**
 * Admits new connections by one token bucket per tenant and pool, and by load shedding. The refill rate of the buckets
 * falls with the depth of the pool: the used share of its pending limits, or the ejected share of its observed
 * endpoints if that is greater. Confined to the event-loop thread.
 */
final class AdmissionControl {
    /** Result for an admitted request; any other result is the Retry-After time in microseconds. */
    static final long ADMITTED = -1;

    private static final double CURVE_START_FACTOR = 4; // of a tenant's equal share of the quotas
    private static final double DEFAULT_QUOTA_PER_S = 1; // for a tenant without a quota
    private static final int EJECTION_CHECKS_PER_REQUEST = 4; // expires ejections faster than new ones are made
    private static final String NO_TENANT = "";

    private final ActiveSettings settings;
    private final EndpointPool allEndpoints;
    private final SplittableRandom random;
    private final RejectionLog rejectionLog;
    private final DropRateLoadShedder loadShedder;
    private DepthCurve curve;

    AdmissionControl(
            ActiveSettings settings,
            EndpointPool allEndpoints,
            DropRateLoadShedder loadShedder,
            SplittableRandom random,
            RejectionLog rejectionLog) {
        this.settings = settings;
        this.allEndpoints = allEndpoints;
        this.loadShedder = loadShedder;
        this.random = random;
        this.rejectionLog = rejectionLog;
        settingsChanged();
    }

    /** Recomputes the depth curve; token buckets retain their tokens. */
    void settingsChanged() {
        int tenants = Math.max(1, settings.current().tenants().size());
        double perTenant = settings.quotaPerS() / settings.current().nodeCount() / tenants;
        curve = new DepthCurve((perTenant > 0 ? perTenant : DEFAULT_QUOTA_PER_S) * CURVE_START_FACTOR);
    }

    /** Returns {@link #ADMITTED}, or the time in microseconds after which the rejected client may retry. */
    long admit(long nowUs, RequestState request) {
        if (request.arrival.exemptFromAdmission()) {
            return ADMITTED;
        }
        EndpointPool pool = request.pool;
        double ratePerS = curve.rateAt(depth(nowUs, pool)) * settings.quotaShare;
        TokenBucket bucket = pool.buckets.computeIfAbsent(tenantName(request), name -> new TokenBucket(nowUs));
        boolean shed = request.arrival.reconnecting() && isShed(nowUs, request);
        if (!shed && bucket.tryTake(nowUs, ratePerS)) {
            return ADMITTED;
        }
        rejectionLog.logRejection(nowUs, pool);
        return shed ? OutlierEjection.LATENCY_EJECTION_US : bucket.untilTokenUs(ratePerS);
    }

    /** Buckets are stored by name, as reconfiguration may change a tenant's index. */
    private String tenantName(RequestState request) {
        List<Tenant> tenants = settings.current().tenants();
        int tenant = request.arrival.tenant();
        return tenant >= 0 && tenant < tenants.size() ? tenants.get(tenant).name() : NO_TENANT;
    }

    private boolean isShed(long nowUs, RequestState request) {
        double probability = loadShedder.rejectionProbability(nowUs, allEndpoints.open, allEndpoints.ready.size());
        return Hashing.uniform(request.randomHash, 0, 0) < probability;
    }

    /**
     * The depth of a pool: the used share of its pending limits, or the ejected share of its observed endpoints if that
     * is greater, as endpoints overloaded by established connections have no pending attempts. Also clears the expired
     * ejections of a few random endpoints.
     */
    private double depth(long nowUs, EndpointPool pool) {
        for (int i = 0; i < EJECTION_CHECKS_PER_REQUEST && !pool.ejected.isEmpty(); i++) {
            EndpointState endpoint = pool.ejected.get(random.nextInt(pool.ejected.size()));
            if (nowUs >= endpoint.ejectedUntilUs) {
                endpoint.clearEjection();
            }
        }
        double pending = pool.pendingLimits == 0 ? 0 : (double) pool.pending / pool.pendingLimits;
        // Adding 2 keeps the ejection of a single observed endpoint from raising the depth to 1.
        return Math.max(pending, pool.ejected.size() / (pool.observed.size() + 2.0));
    }
}

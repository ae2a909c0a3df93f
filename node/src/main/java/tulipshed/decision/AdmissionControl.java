package tulipshed.decision;

import java.util.List;
import java.util.SplittableRandom;
import tulipshed.decision.BalancerApi.Actions;
import tulipshed.decision.BalancerApi.Tenant;

/** Admits new connections by the pool's depth, a token bucket per tenant and load shedding. Confined to the event loop. */
final class AdmissionControl {
    /** Result for an admitted request; any other result is the time after which to retry. */
    static final long ADMITTED = -1;

    private static final double CURVE_START_SHARES = 4; // equal shares of the quota at which the curve starts
    private static final double DEFAULT_QUOTA_PER_S = 1; // of a tenant, where none is stated
    private static final int EJECTION_CHECKS = 4; // random ejected endpoints a request: more than become ejected
    private static final long LOG_INTERVAL_US = 10_000_000;
    private static final String NO_TENANT = "";

    private final ActiveSettings settings;
    private final EndpointPool allEndpoints;
    private final SplittableRandom random;
    private final Actions actions;
    private final DropRateLoadShedder loadShedder = new DropRateLoadShedder();
    private DepthCurve curve;
    private long nextLogUs = Long.MIN_VALUE;

    AdmissionControl(ActiveSettings settings, EndpointPool allEndpoints, SplittableRandom random, Actions actions) {
        this.settings = settings;
        this.allEndpoints = allEndpoints;
        this.random = random;
        this.actions = actions;
        settingsChanged();
    }

    /** Computes the depth curve anew; token buckets keep their tokens. */
    void settingsChanged() {
        double quotaPerS = settings.quotaPerS();
        int tenants = Math.max(1, settings.current().tenants().size());
        double tenantPerS = quotaPerS > 0 ? quotaPerS / settings.current().nodeCount() / tenants : DEFAULT_QUOTA_PER_S;
        curve = new DepthCurve(tenantPerS * CURVE_START_SHARES);
    }

    /** Counts an established connection that a ready endpoint dropped. */
    void recordDrop(long now) {
        loadShedder.recordDrop(now);
    }

    /** {@link #ADMITTED}, or the time in microseconds after which the rejected client may retry. */
    long admit(long now, RequestState request) {
        if (request.arrival.midFlow()) {
            return ADMITTED;
        }
        EndpointPool pool = request.pool;
        double ratePerS = curve.rateAt(depth(now, pool)) * settings.quotaShare;
        TokenBucket bucket =
                pool.buckets.computeIfAbsent(tenantName(request.arrival.tenant()), t -> new TokenBucket(now));
        boolean shed = request.arrival.reconnecting() && isShed(now, request);
        if (!shed && bucket.tryTake(now, ratePerS)) {
            return ADMITTED;
        }
        logRejection(now, pool);
        return shed ? OutlierEjection.LATE_EJECTION_US : bucket.untilTokenUs(ratePerS);
    }

    /** Buckets are kept by name, as reconfiguration may change a tenant's index. */
    private String tenantName(int tenant) {
        List<Tenant> tenants = settings.current().tenants();
        return tenant >= 0 && tenant < tenants.size() ? tenants.get(tenant).name() : NO_TENANT;
    }

    private boolean isShed(long now, RequestState request) {
        double probability = loadShedder.rejectionProbability(now, allEndpoints.open, allEndpoints.ready.size());
        return Hashing.uniform(request.randomHash, 0, 0) < probability;
    }

    /**
     * Pending attempts over pending limits, or the ejected share of the known endpoints if that is more: endpoints
     * overloaded by established connections alone have nothing pending. Two are added lest one known be all.
     */
    private double depth(long now, EndpointPool pool) {
        for (int i = 0; i < EJECTION_CHECKS && !pool.ejected.isEmpty(); i++) {
            EndpointState endpoint = pool.ejected.get(random.nextInt(pool.ejected.size()));
            if (now >= endpoint.ejectedUntilUs) {
                endpoint.clearEjection();
            }
        }
        double pending = pool.pendingLimits == 0 ? 0 : (double) pool.pending / pool.pendingLimits;
        return Math.max(pending, pool.ejected.size() / (pool.known.size() + 2.0));
    }

    private void logRejection(long now, EndpointPool pool) {
        if (now >= nextLogUs) {
            nextLogUs = now + LOG_INTERVAL_US;
            actions.log("rejecting requests: " + pool.ejected.size() + " of " + pool.known.size()
                    + " known endpoints ejected, " + pool.failing + " failing");
        }
    }
}

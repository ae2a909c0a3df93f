package tulipshed.decision;

import java.util.SplittableRandom;
import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerSettings;

/**
 * Creates and connects the components of one balancer; makes no decisions itself. Confined to the event-loop thread.
 */
final class BalancerParts {
    final ActiveSettings settings;
    final EndpointPools pools = new EndpointPools(GroupAffinity.ARRIVALS_TIME_CONSTANT_US);
    final RequestTable requests;
    /** Averages of the reported loads by request class, in microseconds of work per second. */
    final MovingAverages averageLoads = new MovingAverages(Balancer.LOAD_GAIN);

    final EndpointTable endpoints;
    final DropRateLoadShedder loadShedder = new DropRateLoadShedder();
    final AdmissionControl admission;
    final RetryPolicy retryPolicy;
    final OutlierEjection outlierEjection;
    final Migration migration;
    final GroupAffinity groupAffinity;
    final ConnectionReuse connectionReuse;
    final Placement placement;
    final DiscoveryPolling discoveryPolling;

    /** Creates the components at the time {@code nowUs}; they share one random number generator with this seed. */
    BalancerParts(BalancerSettings initialSettings, long seed, long nowUs, BalancerActions actions) {
        SplittableRandom random = new SplittableRandom(seed);
        requests = new RequestTable(Hashing.mix(seed));
        settings = new ActiveSettings(initialSettings);
        SlowStart slowStart = new SlowStart(settings, pools.allEndpoints);
        endpoints = new EndpointTable(pools, new EndpointUpdater(settings, slowStart), PendingLimit.INITIAL);
        admission = new AdmissionControl(settings, pools.allEndpoints, loadShedder, random, new RejectionLog(actions));
        retryPolicy = new RetryPolicy(settings, random);
        outlierEjection = new OutlierEjection(settings, random);
        migration = new Migration(outlierEjection, random);
        EndpointEvaluator evaluator = new EndpointEvaluator(outlierEjection, slowStart);
        groupAffinity = new GroupAffinity(settings, outlierEjection, evaluator, averageLoads, random);
        connectionReuse = new ConnectionReuse(settings, evaluator);
        placement = new Placement(
                settings,
                endpoints,
                slowStart,
                outlierEjection,
                evaluator,
                groupAffinity,
                connectionReuse,
                new HealthCheckComparison(settings, evaluator, requests, actions),
                new MovingAverages(Placement.SETUP_TIME_GAIN),
                random);
        discoveryPolling = new DiscoveryPolling(settings, random, actions, nowUs);
    }

    /** Describes the maintained sums over endpoints that differ from a recount; empty if none does. For tests. */
    String inconsistencies() {
        return pools.inconsistencies(endpoints.all());
    }
}

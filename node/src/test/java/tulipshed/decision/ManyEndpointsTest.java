package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Outcome;

/**
 * Counts of eligible and ineligible endpoints visit ejected endpoints only; the counts and the choice of preferred
 * endpoints equal the results of a full scan.
 */
class ManyEndpointsTest {
    private static final int ENDPOINTS = 3200;
    private static final int EJECTED = 3;

    private final BalancerSetup setup = new BalancerSetup();

    @Test
    void countingEligibleEndpointsVisitsEjectedOnesOnly() throws ReflectiveOperationException {
        Balancer balancer = balancerThatThrowsOnVisitingEndpointsNotEjected();
        assertEquals(ENDPOINTS - EJECTED, balancer.eligibleCount(0, null));
    }

    @Test
    void countingIneligibleEndpointsVisitsEjectedOnesOnly() throws ReflectiveOperationException {
        Balancer balancer = balancerThatThrowsOnVisitingEndpointsNotEjected();
        assertEquals(EJECTED, balancer.ineligibleCount(0));
    }

    /**
     * Endpoints that are not ejected have no set indexes and no list entry, so that querying their readiness throws and
     * they count as unlisted.
     */
    private Balancer balancerThatThrowsOnVisitingEndpointsNotEjected() throws ReflectiveOperationException {
        Balancer balancer = setup.balancerWithEndpoints(ENDPOINTS);
        EndpointPool all = balancer.parts.pools.allEndpoints;
        for (int i = 0; i < EJECTED; i++) {
            balancer.parts.outlierEjection.recordOutcome(0, all.ready.get(i), Outcome.CONNECT_FAILED, 0);
        }
        Field indexBySet = IndexedSet.Item.class.getDeclaredField("indexBySet");
        indexBySet.setAccessible(true);
        for (int i = EJECTED; i < ENDPOINTS; i++) {
            indexBySet.set(all.ready.get(i), null);
            all.ready.get(i).info = null;
        }
        return balancer;
    }

    /** Covers ejections, drains, removals with open connections, and adoptions at unlisted endpoints and their end. */
    @Test
    void countsEqualFullScanOfEndpoints() {
        Balancer balancer = setup.balancerWithEndpoints(60);
        SplittableRandom random = new SplittableRandom(7);
        int mostIneligible = 0;
        for (int step = 1; step <= 4000; step++) {
            long now = step * 50_000L;
            sendRandomEvent(balancer, now, step, random);
            EndpointPool all = balancer.parts.pools.allEndpoints;
            int eligible = 0;
            int ineligible = 0;
            for (EndpointState endpoint : balancer.parts.endpoints.all()) {
                boolean isEligible = balancer.parts.outlierEjection.isEligible(now, all, endpoint);
                eligible += isEligible ? 1 : 0;
                ineligible += !isEligible && !endpoint.removed && endpoint.info != null ? 1 : 0;
            }
            assertEquals(eligible, balancer.eligibleCount(now, null), "step " + step);
            assertEquals(ineligible, balancer.ineligibleCount(now), "step " + step);
            mostIneligible = Math.max(mostIneligible, ineligible);
        }
        assertTrue(mostIneligible > 5, "endpoints were ejected or drained: " + mostIneligible);
    }

    private void sendRandomEvent(Balancer balancer, long now, int step, SplittableRandom random) {
        int endpoint = random.nextInt(80);
        switch (random.nextInt(8)) {
            case 0 -> {
                EndpointStatus[] all = EndpointStatus.values();
                EndpointStatus status = all[random.nextInt(all.length)];
                balancer.endpointsChanged(now, EndpointListKind.CHANGES, List.of(setup.endpoint(endpoint, status, 0)));
            }
            case 1 ->
                balancer.connectionAdopted(now, BalancerSetup.request(step), BalancerSetup.endpointName(endpoint));
            case 2 ->
                BalancerSetup.end(
                        balancer,
                        now,
                        random.nextInt(step),
                        0,
                        true,
                        random.nextBoolean() ? Outcome.RESET : Outcome.OK);
            case 3 -> {
                if (random.nextInt(40) == 0) {
                    setup.listEndpoints(balancer, now, 40 + random.nextInt(20));
                }
            }
            default -> {
                balancer.requestArrived(now, BalancerSetup.request(step));
                BalancerSetup.end(balancer, now, step, 0, true, random.nextBoolean() ? Outcome.TIMEOUT : Outcome.OK);
            }
        }
    }

    /** The bound that avoids computing most logarithms must not change which endpoint is preferred. */
    @Test
    void preferredEndpointHasLowestScore() {
        SplittableRandom random = new SplittableRandom(3);
        for (int run = 0; run < 20; run++) {
            Balancer balancer = setup.balancerWithEndpoints(1 + random.nextInt(400));
            EndpointPool pool = balancer.parts.pools.allEndpoints;
            for (int i = 0; i < pool.ready.size(); i++) {
                EndpointState endpoint = pool.ready.get(i);
                endpoint.setCapacity(endpoint.machineType, Math.exp(10 * random.nextDouble() - 5));
            }
            ConnectionGroup group = new ConnectionGroup("g" + run, 2, 1e6);
            for (int rank = 0; rank < 50; rank++) {
                assertSame(
                        endpointWithLowestScore(pool, group, rank),
                        balancer.parts.groupAffinity.preferred(pool, group, rank));
            }
        }
    }

    private static EndpointState endpointWithLowestScore(EndpointPool pool, ConnectionGroup group, int rank) {
        EndpointState best = null;
        double lowestScore = Double.MAX_VALUE;
        for (int i = 0; i < pool.ready.size(); i++) {
            EndpointState endpoint = pool.ready.get(i);
            double score = -Math.log(Hashing.uniform(group.hash, endpoint.hash, rank)) / endpoint.weight();
            if (score < lowestScore) {
                lowestScore = score;
                best = endpoint;
            }
        }
        return best;
    }
}

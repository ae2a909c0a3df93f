package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.Outcome;

/** Queries cost the same however many endpoints there are, and give what a look at each of them gives. */
class ManyEndpointsTest {
    private static final int FEW = 200;
    private static final int MANY = 3200;
    private static final int CALLS = 20_000;
    private static final int ROUNDS = 9;
    private static final double MAX_GROWTH = 4; // 16 where each endpoint is visited

    private final BalancerSetup setup = new BalancerSetup();
    private int sum;

    @Test
    void countingEligibleEndpointsDoesNotVisitEachOfThem() {
        assertDoesNotGrow(balancer -> balancer.eligibleCount(0, null));
    }

    @Test
    void countingIneligibleEndpointsDoesNotVisitEachOfThem() {
        assertDoesNotGrow(balancer -> balancer.ineligibleCount(0));
    }

    private void assertDoesNotGrow(ToIntFunction<Balancer> query) {
        Balancer few = setup.balancerWithEndpoints(FEW);
        Balancer many = setup.balancerWithEndpoints(MANY);
        long fewNs = Long.MAX_VALUE;
        long manyNs = Long.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            fewNs = Math.min(fewNs, cpuNs(() -> query.applyAsInt(few)));
            manyNs = Math.min(manyNs, cpuNs(() -> query.applyAsInt(many)));
        }
        assertTrue(sum >= 0 && manyNs < MAX_GROWTH * fewNs, manyNs + " ns with many, " + fewNs + " ns with few");
    }

    /** Processor time of this thread, which other processes do not add to. */
    private long cpuNs(IntSupplier query) {
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int i = 0; i < CALLS; i++) {
            sum = query.getAsInt();
        }
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
    }

    /** Through ejections, drains, removals with open connections, adoptions at unlisted endpoints and their end. */
    @Test
    void countsEqualALookAtEachEndpoint() {
        Balancer balancer = setup.balancerWithEndpoints(60);
        SplittableRandom random = new SplittableRandom(7);
        int mostIneligible = 0;
        for (int step = 1; step <= 4000; step++) {
            long now = step * 50_000L;
            act(balancer, now, step, random);
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

    private void act(Balancer balancer, long now, int step, SplittableRandom random) {
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

    /** The bound that spares most logarithms must not change which endpoint is preferred. */
    @Test
    void preferredEndpointIsThatOfTheLowestScore() {
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
                assertSame(lowestScore(pool, group, rank), balancer.parts.groupAffinity.preferred(pool, group, rank));
            }
        }
    }

    private static EndpointState lowestScore(EndpointPool pool, ConnectionGroup group, int rank) {
        EndpointState best = null;
        double lowest = Double.MAX_VALUE;
        for (int i = 0; i < pool.ready.size(); i++) {
            EndpointState endpoint = pool.ready.get(i);
            double score = -Math.log(Hashing.uniform(group.hash, endpoint.hash, rank)) / endpoint.weight();
            if (score < lowest) {
                lowest = score;
                best = endpoint;
            }
        }
        return best;
    }
}

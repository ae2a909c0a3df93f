package tulipshed.emulator.policy;

import java.util.Arrays;

/**
 * Consistent hashing with bounded loads: the first endpoint on the ring, from the request's key on, whose connections of
 * this node are below {@link #LOAD_BOUND} times its fair share.
 *
 * <p>Source: V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
 */
final class BoundedLoadHashingPolicy extends BaselinePolicy {
    /** Points of each endpoint on the ring. */
    private static final int POINTS_PER_ENDPOINT = 64;

    private static final double LOAD_BOUND = 1.25;
    private long[] ring = new long[0];
    private int[] owner = new int[0];
    private boolean stale = true;

    BoundedLoadHashingPolicy(PolicyHost host) {
        super(host);
    }

    @Override
    void endpointAdded(int endpoint) {
        stale = true;
    }

    @Override
    void endpointRemoved(int endpoint) {
        stale = true;
    }

    /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014). */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    private static int compare(long[] left, long[] right) {
        return left[0] != right[0] ? Long.compare(left[0], right[0]) : Long.compare(left[1], right[1]);
    }

    private void buildRing() {
        int size = servingCount() * POINTS_PER_ENDPOINT;
        long[][] sorted = new long[size][];
        for (int i = 0; i < servingCount(); i++) {
            for (int point = 0; point < POINTS_PER_ENDPOINT; point++) {
                sorted[i * POINTS_PER_ENDPOINT + point] =
                        new long[] {mix((long) servingEndpoint(i) << 16 | point), servingEndpoint(i)};
            }
        }
        Arrays.sort(sorted, BoundedLoadHashingPolicy::compare);
        ring = new long[size];
        owner = new int[size];
        for (int i = 0; i < size; i++) {
            ring[i] = sorted[i][0];
            owner[i] = (int) sorted[i][1];
        }
        stale = false;
    }

    @Override
    int choose(ClientRequest request, int excluded) {
        if (servingCount() == 0) {
            return -1;
        }
        if (stale) {
            buildRing();
        }
        long total = 1;
        double totalWeight = 0;
        for (int i = 0; i < servingCount(); i++) {
            total += connections[servingEndpoint(i)];
            totalWeight += weight[servingEndpoint(i)];
        }
        long key = mix(request.demand.group >= 0 ? -1L - request.demand.group : request.id * 31 + host.node());
        int start = Arrays.binarySearch(ring, key);
        start = start < 0 ? -start - 1 : start;
        for (int i = 0; i < ring.length; i++) {
            int endpoint = owner[(start + i) % ring.length];
            if (endpoint != excluded
                    && connections[endpoint] < Math.ceil(LOAD_BOUND * total * weight[endpoint] / totalWeight)) {
                return endpoint;
            }
        }
        return randomEndpoint(excluded);
    }
}

package tulipshed.emulator.policy;

import java.util.Arrays;

/** The policies of the emulator that the module is compared with. */
final class BaselinePolicies {
    private BaselinePolicies() {}

    /** Any member. */
    static final class AnyMember extends BaselinePolicy {
        AnyMember(PolicyHost host) {
            super(host);
        }

        @Override
        int choose(ClientRequest request, int excluded) {
            return any(excluded);
        }
    }

    /** The one of two random members that holds fewer of this node's connections for its size. */
    static final class LeastOfTwo extends BaselinePolicy {
        LeastOfTwo(PolicyHost host) {
            super(host);
        }

        @Override
        int choose(ClientRequest request, int excluded) {
            int a = any(excluded);
            int b = any(excluded);
            return a < 0 || open[b] / weight[b] >= open[a] / weight[a] ? a : b;
        }
    }

    /** One after the other. */
    static final class RoundRobin extends BaselinePolicy {
        private int next = -1;

        RoundRobin(PolicyHost host) {
            super(host);
        }

        @Override
        int choose(ClientRequest request, int excluded) {
            if (servingCount() == 0) {
                return -1;
            }
            next = next < 0 ? random.nextInt(servingCount()) : (next + 1) % servingCount();
            return serving(next);
        }
    }

    /**
     * Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018): the first member on the ring from the
     * key on that holds less than 1.25 times the mean of this node's connections.
     */
    static final class BoundedHashing extends BaselinePolicy {
        private static final int POINTS = 64; // of a member on the ring
        private static final double BOUND = 1.25;
        private long[] ring = new long[0];
        private int[] owner = new int[0];
        private boolean stale = true;

        BoundedHashing(PolicyHost host) {
            super(host);
        }

        @Override
        void came(int endpoint) {
            stale = true;
        }

        @Override
        void went(int endpoint) {
            stale = true;
        }

        private static long mix(long x) {
            x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
            x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
            return x ^ x >>> 31;
        }

        private void build() {
            int n = servingCount() * POINTS;
            long[][] points = new long[n][];
            for (int i = 0; i < servingCount(); i++) {
                for (int p = 0; p < POINTS; p++) {
                    points[i * POINTS + p] = new long[] {mix((long) serving(i) << 16 | p), serving(i)};
                }
            }
            Arrays.sort(points, (a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
            ring = new long[n];
            owner = new int[n];
            for (int i = 0; i < n; i++) {
                ring[i] = points[i][0];
                owner[i] = (int) points[i][1];
            }
            stale = false;
        }

        @Override
        int choose(ClientRequest request, int excluded) {
            if (servingCount() == 0) {
                return -1;
            }
            if (stale) {
                build();
            }
            long all = 1;
            double size = 0;
            for (int i = 0; i < servingCount(); i++) {
                all += open[serving(i)];
                size += weight[serving(i)];
            }
            long key = mix(request.demand.group >= 0 ? -1L - request.demand.group : request.id * 31 + host.node());
            int at = Arrays.binarySearch(ring, key);
            at = at < 0 ? -at - 1 : at;
            for (int i = 0; i < ring.length; i++) {
                int endpoint = owner[(at + i) % ring.length];
                if (endpoint != excluded && open[endpoint] < Math.ceil(BOUND * all * weight[endpoint] / size)) {
                    return endpoint;
                }
            }
            return any(excluded);
        }
    }

    /**
     * Peak-EWMA: the lower of two by a decaying mean of set-up times, which jumps to every peak, times what is out, as in
     * Finagle.
     */
    static final class PeakEwma extends BaselinePolicy {
        private static final double DECAY_MS = 10_000;
        private final double[] mean;
        private final double[] at;

        PeakEwma(PolicyHost host) {
            super(host);
            mean = new double[host.endpointCount()];
            at = new double[host.endpointCount()];
        }

        @Override
        void took(int endpoint, double ms) {
            double now = host.nowMs();
            double old = Math.exp((at[endpoint] - now) / DECAY_MS);
            mean[endpoint] = ms > mean[endpoint] ? ms : mean[endpoint] * old + ms * (1 - old);
            at[endpoint] = now;
        }

        private double cost(int endpoint) {
            return (mean[endpoint] + 1) * (open[endpoint] + 1) / weight[endpoint];
        }

        @Override
        int choose(ClientRequest request, int excluded) {
            int a = any(excluded);
            int b = any(excluded);
            return a < 0 || cost(b) >= cost(a) ? a : b;
        }
    }

    /**
     * Sees the true state of every member, and what is on its way there from all nodes; a ceiling, not a design. Turns
     * away what nobody can bear, and never strains a cold member.
     */
    static final class Clairvoyant extends BaselinePolicy {
        private static final double MOST = 0.9; // of a member's capacity
        private static final double STRAIN = 0.7;

        Clairvoyant(PolicyHost host) {
            super(host);
        }

        @Override
        int choose(ClientRequest request, int excluded) {
            int best = -1;
            double least = MOST;
            for (int i = 0; i < servingCount(); i++) {
                GroundTruth state = host.groundTruth(serving(i));
                if (!state.alive() || serving(i) == excluded || state.strain() > STRAIN || state.backlogMs() > 0) {
                    continue;
                }
                double share = (state.load() + state.committedLoad()[0] + request.demand.load) / state.capacity();
                if (share < least) {
                    least = share;
                    best = serving(i);
                }
            }
            if (best >= 0) {
                host.groundTruth(best).committedLoad()[0] += request.demand.load;
            }
            return best;
        }
    }
}

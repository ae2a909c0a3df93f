package tulipshed.emulator.model;

import tulipshed.emulator.policy.GroundTruth;

/** How a member was, tick by tick, for as long as anybody may ask: what those see that see true states late. */
final class EndpointHistory {
    private static final int TICKS = 48; // of 150 ms: a little over 7 s

    private record State(
            double atMs,
            boolean alive,
            double capacity,
            double load,
            double backlogMs,
            double strain,
            double[] committedLoad)
            implements GroundTruth {
        @Override
        public boolean holdsGroup(int group) {
            throw new UnsupportedOperationException("groups are not kept");
        }

        @Override
        public GroundTruth at(double ms) {
            return this;
        }
    }

    private final State[] states = new State[TICKS];
    private int count;

    /** It is like this now. */
    void note(double atMs, GroundTruth now) {
        states[count++ % TICKS] =
                new State(atMs, now.alive(), now.capacity(), now.load(), now.backlogMs(), now.strain(), new double[1]);
    }

    /** The newest state that is at least that old, or the oldest kept; the state now where none is kept. */
    GroundTruth at(double ms, GroundTruth now) {
        for (int i = count - 1; i >= Math.max(0, count - TICKS); i--) {
            State s = states[i % TICKS];
            if (s.atMs <= ms || i == Math.max(0, count - TICKS)) {
                return s;
            }
        }
        return now;
    }
}

package tulipshed.emulator.model;

import java.util.Arrays;

/** The connection set-ups at an endpoint. They wait for its cores in order of arrival. */
final class SetupQueue {
    private final double[] coreFreeMs;
    private final int limit;
    private int pending;
    private double workMs;

    /**
     * Creates a queue without set-ups.
     *
     * @param limitPerCore how many set-ups may be pending for each core
     */
    SetupQueue(int cores, int limitPerCore) {
        coreFreeMs = new double[cores];
        limit = limitPerCore * cores;
    }

    int pending() {
        return pending;
    }

    boolean isFull() {
        return pending >= limit;
    }

    /** Adds a set-up of that much work. */
    void add(double setupWorkMs) {
        pending++;
        workMs += setupWorkMs;
    }

    /** Removes a set-up that is done. */
    void remove() {
        pending--;
    }

    /** When the next set-up can start, not before a time, in virtual milliseconds. */
    double nextStartMs(double earliestMs) {
        return Math.max(earliestMs, coreFreeMs[nextCore()]);
    }

    /** Occupies the core that is free first from then on; returns when it is free again. */
    double occupy(double startMs, double durationMs) {
        int core = nextCore();
        coreFreeMs[core] = startMs + durationMs;
        return coreFreeMs[core];
    }

    private int nextCore() {
        int first = 0;
        for (int i = 1; i < coreFreeMs.length; i++) {
            first = coreFreeMs[i] < coreFreeMs[first] ? i : first;
        }
        return first;
    }

    /** Returns the work that was added since the last call. */
    double takeWorkMs() {
        double taken = workMs;
        workMs = 0;
        return taken;
    }

    /** The process has ended with all its set-ups. */
    void clear() {
        pending = 0;
        Arrays.fill(coreFreeMs, 0);
    }
}

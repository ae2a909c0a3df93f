package tulipshed.decision;

/** An event count that decays exponentially with time. Confined to the event-loop thread. */
final class DecayingCounter {
    private final double timeConstantUs;
    private double count;
    private long updatedAtUs;

    /** Creates a count of zero that falls to 1/e of its value within {@code timeConstantUs}, in microseconds. */
    DecayingCounter(double timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    /** The count at this time, in microseconds; at least 0. */
    double at(long nowUs) {
        if (nowUs > updatedAtUs) {
            count *= Math.exp((updatedAtUs - nowUs) / timeConstantUs);
            updatedAtUs = nowUs;
        }
        return count;
    }

    /** Counts one event. */
    void add(long nowUs) {
        count = at(nowUs) + 1;
    }
}

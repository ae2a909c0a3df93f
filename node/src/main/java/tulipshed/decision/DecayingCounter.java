package tulipshed.decision;

/** A count of events that fades exponentially with time. */
final class DecayingCounter {
    private final double fadeUs;
    private double count;
    private long atUs;

    DecayingCounter(double fadeUs) {
        this.fadeUs = fadeUs;
    }

    double at(long now) {
        if (now > atUs) {
            count *= Math.exp((atUs - now) / fadeUs);
            atUs = now;
        }
        return count;
    }

    void add(long now) {
        count = at(now) + 1;
    }
}

package tulipshed.decision;

import java.util.HashMap;
import java.util.Map;

/** Exponentially weighted moving averages by name. Confined to the event-loop thread. */
final class MovingAverages {
    private final Map<String, Double> averages = new HashMap<>();
    private final double gain;

    /** Creates an empty set of averages; {@code gain} is the weight of each added value, from 0 to 1. */
    MovingAverages(double gain) {
        this.gain = gain;
    }

    boolean isEmpty() {
        return averages.isEmpty();
    }

    /** The average of this name, or {@code absent} if no value was added. */
    double getOrDefault(String name, double absent) {
        return averages.getOrDefault(name, absent);
    }

    /** Adds a value and returns the new average; the first value is the initial average. */
    double add(String name, double value) {
        return averages.merge(name, value, (average, added) -> average + (added - average) * gain);
    }
}

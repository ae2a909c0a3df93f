package tulipshed.decision;

import java.util.HashMap;
import java.util.Map;

/** Exponentially weighted moving averages by name. Confined to the event-loop thread. */
final class MovingAverages {
    private final Map<String, Double> averages = new HashMap<>();
    private final double gain;

    /** Creates a set without any average; {@code gain} is the weight of each value added, from 0 to 1. */
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

    /** Adds a value, which is the average if it is the first one, and returns the new average. */
    double add(String name, double value) {
        return averages.merge(name, value, (average, added) -> average + (added - average) * gain);
    }
}

package tulipshed.emulator.invariants;

import java.util.HashMap;
import java.util.Map;

/** Since when a node's process has known which endpoints drain or are removed. */
final class DrainNotifications {
    private final Map<Integer, Double> notServingSinceMs = new HashMap<>();

    void clear() {
        notServingSinceMs.clear();
    }

    /** The first of several notifications that an endpoint does not serve counts. */
    void notified(double atMs, int endpoint, boolean serving) {
        if (serving) {
            notServingSinceMs.remove(endpoint);
        } else {
            notServingSinceMs.putIfAbsent(endpoint, atMs);
        }
    }

    /** The time of the notification that the endpoint does not serve; positive infinity where it serves. */
    double notServingSinceMs(int endpoint) {
        Double sinceMs = notServingSinceMs.get(endpoint);
        return sinceMs == null ? Double.POSITIVE_INFINITY : sinceMs;
    }
}

package tulipshed.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import tulipshed.decision.api.RequestClass;

/**
 * Metrics of this process: counters since its start, and the number of active requests as a gauge. Confined to the event-loop
 * thread.
 */
public final class NodeMetrics {
    private final Map<String, ResponseCounts> responses = new LinkedHashMap<>();
    private final Map<String, LongSupplier> frontendCounters = new LinkedHashMap<>();
    private int activeRequests;
    private long forwardedAttempts;
    private long reloadsApplied;
    private long reloadsRejected;

    /** Final responses to the requests of one class. */
    public static final class ResponseCounts {
        private long established;
        private long rejected;
        private long failed;

        /** The number of established connections. */
        public long established() {
            return established;
        }

        /** The number of rejected requests. */
        public long rejected() {
            return rejected;
        }

        /** The number of failed requests. */
        public long failed() {
            return failed;
        }
    }

    /** Adds the classes of new settings with counts of 0; a class that the settings no longer contain keeps its counts. */
    void declareClasses(List<RequestClass> classes) {
        classes.forEach(requestClass -> responses.computeIfAbsent(requestClass.name(), name -> new ResponseCounts()));
    }

    /** Counts a request that arrived. */
    void recordArrival() {
        activeRequests++;
    }

    /** Counts a request that has ended; an established one ends with its connection. */
    void recordCompletion() {
        activeRequests--;
    }

    /** Counts a request of that class whose connection was established. */
    void recordEstablished(String className) {
        responses.get(className).established++;
    }

    /** Counts a request of that class that was rejected. */
    void recordRejected(String className) {
        responses.get(className).rejected++;
    }

    /** Counts a request of that class that failed. */
    void recordFailed(String className) {
        responses.get(className).failed++;
    }

    /** Counts an attempt that was forwarded completely. */
    void recordForwarded() {
        forwardedAttempts++;
    }

    /** Counts a configuration reload that took effect. */
    public void recordReloadApplied() {
        reloadsApplied++;
    }

    /** Counts a configuration reload that was rejected as malformed. */
    public void recordReloadRejected() {
        reloadsRejected++;
    }

    /** Registers a counter that a frontend maintains; it replaces any of the same name. */
    public void registerFrontendCounter(String name, LongSupplier counter) {
        frontendCounters.put(name, counter);
    }

    /** The counters that frontends maintain, by name. */
    public Map<String, LongSupplier> frontendCounters() {
        return frontendCounters;
    }

    /** The final responses, by the name of the class. */
    public Map<String, ResponseCounts> responses() {
        return responses;
    }

    /** Requests that have arrived and not ended yet. */
    public int activeRequests() {
        return activeRequests;
    }

    /** Attempts that were forwarded completely. */
    public long forwardedAttempts() {
        return forwardedAttempts;
    }

    /** Configuration reloads that took effect. */
    public long reloadsApplied() {
        return reloadsApplied;
    }

    /** Configuration reloads that were rejected. */
    public long reloadsRejected() {
        return reloadsRejected;
    }
}

package tulipshed.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import tulipshed.decision.BalancerApi.RequestClass;

/** What a node has done since its start, counted where it became final. Read and written on the loop only. */
public final class NodeMetrics {
    private final Map<String, ResponseCounts> responses = new LinkedHashMap<>();
    private final Map<String, LongSupplier> frontendCounters = new LinkedHashMap<>();
    private int activeRequests;
    private long forwardedAttempts;
    private long reloadsApplied;
    private long reloadsRejected;

    /** Final answers to the transactions of one class. */
    public static final class ResponseCounts {
        private long established;
        private long rejected;
        private long failed;

        public long established() {
            return established;
        }

        public long rejected() {
            return rejected;
        }

        public long failed() {
            return failed;
        }
    }

    /** Classes appear from the moment that the settings name them, at 0; one that is dropped keeps its counts. */
    void classes(List<RequestClass> named) {
        named.forEach(c -> responses.computeIfAbsent(c.name(), n -> new ResponseCounts()));
    }

    void taken() {
        activeRequests++;
    }

    void ended() {
        activeRequests--;
    }

    void up(Request request) {
        responses.get(request.className()).established++;
    }

    void rejected(Request request) {
        responses.get(request.className()).rejected++;
    }

    void failed(Request request) {
        responses.get(request.className()).failed++;
    }

    void dispatched() {
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

    /** A figure that a front counts by itself; another of the same name takes its place. */
    public void frontendCounters(String name, LongSupplier figure) {
        frontendCounters.put(name, figure);
    }

    /** Figures that fronts count by themselves. */
    public Map<String, LongSupplier> frontendCounters() {
        return frontendCounters;
    }

    /** By the name of the class. */
    public Map<String, ResponseCounts> responses() {
        return responses;
    }

    /** Transactions taken and not yet ended. */
    public int activeRequests() {
        return activeRequests;
    }

    /** Attempts written whole. */
    public long forwardedAttempts() {
        return forwardedAttempts;
    }

    public long reloadsApplied() {
        return reloadsApplied;
    }

    public long reloadsRejected() {
        return reloadsRejected;
    }
}

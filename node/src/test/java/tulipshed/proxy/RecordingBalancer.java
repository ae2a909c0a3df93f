package tulipshed.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;

/** A decision module that makes no decisions of its own and records all events as lines of text, in order. */
final class RecordingBalancer implements BalancerApi {
    /** The number of eligible endpoints by pool name; 0 for pools without an entry. */
    final Map<String, Integer> eligibleByPool = new HashMap<>();
    /** The ID of the last request reported to this module. */
    long lastRequestId;

    private final List<String> recorded;

    /** Records into that list, which may also contain other lines. */
    RecordingBalancer(List<String> recorded) {
        this.recorded = recorded;
    }

    @Override
    public void endpointsChanged(long nowUs, EndpointListKind kind, List<EndpointInfo> entries) {
        recorded.add("endpoints " + kind);
    }

    @Override
    public void requestArrived(long nowUs, NewRequest request) {
        lastRequestId = request.id();
        recorded.add("request " + request.timeoutUs() / 1000 + (request.pool() == null ? "" : " in " + request.pool())
                + (request.requestClass() == 0 ? "" : " as " + request.requestClass()));
    }

    @Override
    public void connectionAdopted(long nowUs, NewRequest request, String endpointId) {
        lastRequestId = request.id();
        recorded.add("adopted " + endpointId);
    }

    @Override
    public void attemptEstablished(long nowUs, long requestId, int attempt, long setupTimeUs) {
        recorded.add("established " + attempt);
    }

    @Override
    public void loadReported(long nowUs, long requestId, double loadUsPerS) {
        recorded.add("load " + loadUsPerS);
    }

    @Override
    public void latencyReported(long nowUs, long requestId, double latencyMs) {
        recorded.add("latency " + latencyMs);
    }

    @Override
    public void attemptEnded(
            long nowUs, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
        recorded.add("ended " + attempt + " " + outcome + (concluded ? " concluded" : ""));
    }

    @Override
    public void requestCancelled(long nowUs, long requestId) {
        recorded.add("cancelled");
    }

    @Override
    public void healthCheckCompleted(long nowUs, String endpointId, Outcome outcome, LoadReport report) {
        recorded.add("health check " + endpointId + " " + outcome);
    }

    @Override
    public void timerFired(long nowUs, long token) {
        recorded.add("timer " + token);
    }

    @Override
    public void peerMessageReceived(long nowUs, int from, byte[] body) {}

    @Override
    public int ineligibleCount(long nowUs) {
        return 1;
    }

    @Override
    public void quotaShareChanged(long nowUs, double shareOfNode) {
        recorded.add("quota share " + shareOfNode);
    }

    @Override
    public void reconfigure(long nowUs, BalancerSettings settings) {
        recorded.add("settings " + settings.classes().size());
    }

    @Override
    public void poolsChanged(long nowUs, Map<String, Set<String>> pools) {
        recorded.add("pools " + new TreeMap<>(pools));
    }

    @Override
    public void requestRerouted(long nowUs, long requestId, String pool) {
        recorded.add("rerouted " + requestId + " " + pool);
    }

    @Override
    public int eligibleCount(long nowUs, String pool) {
        return eligibleByPool.getOrDefault(pool, 0);
    }
}

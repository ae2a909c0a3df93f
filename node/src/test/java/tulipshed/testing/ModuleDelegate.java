package tulipshed.testing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.BalancerApi;

/** Passes every event on; tests override what they listen to. */
public class ModuleDelegate implements BalancerApi {
    private final BalancerApi to;

    public ModuleDelegate(BalancerApi to) {
        this.to = to;
    }

    @Override
    public void endpointsChanged(long now, EndpointListKind kind, List<EndpointInfo> entries) {
        to.endpointsChanged(now, kind, entries);
    }

    @Override
    public void requestArrived(long now, NewRequest request) {
        to.requestArrived(now, request);
    }

    @Override
    public void connectionAdopted(long now, NewRequest request, String server) {
        to.connectionAdopted(now, request, server);
    }

    @Override
    public void attemptEstablished(long now, long requestId, int attempt, long tookUs) {
        to.attemptEstablished(now, requestId, attempt, tookUs);
    }

    @Override
    public void loadReported(long now, long requestId, double loadUsPerS) {
        to.loadReported(now, requestId, loadUsPerS);
    }

    @Override
    public void latencyReported(long now, long requestId, double delayMs) {
        to.latencyReported(now, requestId, delayMs);
    }

    @Override
    public void attemptEnded(
            long now, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
        to.attemptEnded(now, requestId, attempt, concluded, outcome, report);
    }

    @Override
    public void requestCancelled(long now, long requestId) {
        to.requestCancelled(now, requestId);
    }

    @Override
    public void healthCheckCompleted(long now, String server, Outcome outcome, LoadReport report) {
        to.healthCheckCompleted(now, server, outcome, report);
    }

    @Override
    public void timerFired(long now, long token) {
        to.timerFired(now, token);
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {
        to.peerMessageReceived(now, from, body);
    }

    @Override
    public int ineligibleCount(long now) {
        return to.ineligibleCount(now);
    }

    @Override
    public void quotaShareChanged(long now, double ofBalancer) {
        to.quotaShareChanged(now, ofBalancer);
    }

    @Override
    public void reconfigure(long now, Settings settings) {
        to.reconfigure(now, settings);
    }

    @Override
    public void poolsChanged(long now, Map<String, Set<String>> members) {
        to.poolsChanged(now, members);
    }

    @Override
    public void requestRerouted(long now, long requestId, String pool) {
        to.requestRerouted(now, requestId, pool);
    }

    @Override
    public int eligibleCount(long now, String pool) {
        return to.eligibleCount(now, pool);
    }
}

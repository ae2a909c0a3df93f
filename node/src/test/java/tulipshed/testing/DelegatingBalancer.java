package tulipshed.testing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;

/** A balancer that delegates every call to another one; tests override the methods that they observe. */
public class DelegatingBalancer implements BalancerApi {
    private final BalancerApi delegate;

    /** Creates a balancer that delegates every call to {@code delegate}. */
    public DelegatingBalancer(BalancerApi delegate) {
        this.delegate = delegate;
    }

    @Override
    public void endpointsChanged(long nowUs, EndpointListKind kind, List<EndpointInfo> entries) {
        delegate.endpointsChanged(nowUs, kind, entries);
    }

    @Override
    public void requestArrived(long nowUs, NewRequest request) {
        delegate.requestArrived(nowUs, request);
    }

    @Override
    public void connectionAdopted(long nowUs, NewRequest request, String endpointId) {
        delegate.connectionAdopted(nowUs, request, endpointId);
    }

    @Override
    public void attemptEstablished(long nowUs, long requestId, int attempt, long setupTimeUs) {
        delegate.attemptEstablished(nowUs, requestId, attempt, setupTimeUs);
    }

    @Override
    public void loadReported(long nowUs, long requestId, double loadUsPerS) {
        delegate.loadReported(nowUs, requestId, loadUsPerS);
    }

    @Override
    public void latencyReported(long nowUs, long requestId, double latencyMs) {
        delegate.latencyReported(nowUs, requestId, latencyMs);
    }

    @Override
    public void attemptEnded(
            long nowUs, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
        delegate.attemptEnded(nowUs, requestId, attempt, concluded, outcome, report);
    }

    @Override
    public void requestCancelled(long nowUs, long requestId) {
        delegate.requestCancelled(nowUs, requestId);
    }

    @Override
    public void healthCheckCompleted(long nowUs, String endpointId, Outcome outcome, LoadReport report) {
        delegate.healthCheckCompleted(nowUs, endpointId, outcome, report);
    }

    @Override
    public void timerFired(long nowUs, long token) {
        delegate.timerFired(nowUs, token);
    }

    @Override
    public void peerMessageReceived(long nowUs, int senderIndex, byte[] body) {
        delegate.peerMessageReceived(nowUs, senderIndex, body);
    }

    @Override
    public int ineligibleCount(long nowUs) {
        return delegate.ineligibleCount(nowUs);
    }

    @Override
    public void quotaShareChanged(long nowUs, double quotaShare) {
        delegate.quotaShareChanged(nowUs, quotaShare);
    }

    @Override
    public void reconfigure(long nowUs, BalancerSettings settings) {
        delegate.reconfigure(nowUs, settings);
    }

    @Override
    public void poolsChanged(long nowUs, Map<String, Set<String>> endpointIdsByPool) {
        delegate.poolsChanged(nowUs, endpointIdsByPool);
    }

    @Override
    public void requestRerouted(long nowUs, long requestId, String pool) {
        delegate.requestRerouted(nowUs, requestId, pool);
    }

    @Override
    public int eligibleCount(long nowUs, String pool) {
        return delegate.eligibleCount(nowUs, pool);
    }
}

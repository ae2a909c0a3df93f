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

/** A balancer that passes every event to another one; tests override the events that they observe. */
public class DelegatingBalancer implements BalancerApi {
    private final BalancerApi delegate;

    /** Creates a balancer in front of another one. */
    public DelegatingBalancer(BalancerApi to) {
        this.delegate = to;
    }

    @Override
    public void endpointsChanged(long now, EndpointListKind kind, List<EndpointInfo> entries) {
        delegate.endpointsChanged(now, kind, entries);
    }

    @Override
    public void requestArrived(long now, NewRequest request) {
        delegate.requestArrived(now, request);
    }

    @Override
    public void connectionAdopted(long now, NewRequest request, String server) {
        delegate.connectionAdopted(now, request, server);
    }

    @Override
    public void attemptEstablished(long now, long requestId, int attempt, long tookUs) {
        delegate.attemptEstablished(now, requestId, attempt, tookUs);
    }

    @Override
    public void loadReported(long now, long requestId, double loadUsPerS) {
        delegate.loadReported(now, requestId, loadUsPerS);
    }

    @Override
    public void latencyReported(long now, long requestId, double delayMs) {
        delegate.latencyReported(now, requestId, delayMs);
    }

    @Override
    public void attemptEnded(
            long now, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
        delegate.attemptEnded(now, requestId, attempt, concluded, outcome, report);
    }

    @Override
    public void requestCancelled(long now, long requestId) {
        delegate.requestCancelled(now, requestId);
    }

    @Override
    public void healthCheckCompleted(long now, String server, Outcome outcome, LoadReport report) {
        delegate.healthCheckCompleted(now, server, outcome, report);
    }

    @Override
    public void timerFired(long now, long token) {
        delegate.timerFired(now, token);
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {
        delegate.peerMessageReceived(now, from, body);
    }

    @Override
    public int ineligibleCount(long now) {
        return delegate.ineligibleCount(now);
    }

    @Override
    public void quotaShareChanged(long now, double ofBalancer) {
        delegate.quotaShareChanged(now, ofBalancer);
    }

    @Override
    public void reconfigure(long now, BalancerSettings settings) {
        delegate.reconfigure(now, settings);
    }

    @Override
    public void poolsChanged(long now, Map<String, Set<String>> members) {
        delegate.poolsChanged(now, members);
    }

    @Override
    public void requestRerouted(long now, long requestId, String pool) {
        delegate.requestRerouted(now, requestId, pool);
    }

    @Override
    public int eligibleCount(long now, String pool) {
        return delegate.eligibleCount(now, pool);
    }
}

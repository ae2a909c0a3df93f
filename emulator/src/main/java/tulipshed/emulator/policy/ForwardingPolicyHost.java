package tulipshed.emulator.policy;

import tulipshed.emulator.scenario.Scenario;

/** A policy host that forwards all calls to another one, except for those that a subclass overrides. */
abstract class ForwardingPolicyHost implements PolicyHost {
    /** The host that calls are forwarded to. */
    final PolicyHost host;

    ForwardingPolicyHost(PolicyHost host) {
        this.host = host;
    }

    @Override
    public double nowMs() {
        return host.nowMs();
    }

    @Override
    public double clockMs() {
        return host.clockMs();
    }

    @Override
    public Scenario scenario() {
        return host.scenario();
    }

    @Override
    public int node() {
        return host.node();
    }

    @Override
    public long seed() {
        return host.seed();
    }

    @Override
    public int endpointCount() {
        return host.endpointCount();
    }

    @Override
    public String endpointName(int endpoint) {
        return host.endpointName(endpoint);
    }

    @Override
    public EmulatedAttempt startAttempt(ClientRequest request, int endpoint) {
        return host.startAttempt(request, endpoint);
    }

    @Override
    public void cancel(EmulatedAttempt attempt) {
        host.cancel(attempt);
    }

    @Override
    public void reject(ClientRequest request, double retryAfterMs) {
        host.reject(request, retryAfterMs);
    }

    @Override
    public void fail(ClientRequest request) {
        host.fail(request);
    }

    @Override
    public void migrate(ClientRequest request) {
        host.migrate(request);
    }

    @Override
    public void schedule(double delayMs, Runnable task) {
        host.schedule(delayMs, task);
    }

    @Override
    public void watchEndpoints() {
        host.watchEndpoints();
    }

    @Override
    public GroundTruth groundTruth(int endpoint) {
        return host.groundTruth(endpoint);
    }
}

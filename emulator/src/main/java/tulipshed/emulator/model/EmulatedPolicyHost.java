package tulipshed.emulator.model;

import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.policy.GroundTruth;
import tulipshed.emulator.policy.PolicyHost;
import tulipshed.emulator.scenario.Scenario;

/** What an emulated node offers to its policy. */
final class EmulatedPolicyHost implements PolicyHost {
    /** Policies of successive processes draw from different random streams, from this one on. */
    private static final int FIRST_POLICY_STREAM = 100;

    private final EmulatedNode node;
    private final World world;

    EmulatedPolicyHost(EmulatedNode node, World world) {
        this.node = node;
        this.world = world;
    }

    @Override
    public double nowMs() {
        return node.nowMs;
    }

    @Override
    public double clockMs() {
        return node.nowMs + world.nodeClockOffMs[node.number];
    }

    @Override
    public Scenario scenario() {
        return world.scenario;
    }

    @Override
    public int node() {
        return node.number;
    }

    @Override
    public long seed() {
        return RandomStreams.of(
                world.seed, node.id(), FIRST_POLICY_STREAM + node.process().generation());
    }

    @Override
    public int endpointCount() {
        return world.members.length;
    }

    @Override
    public String endpointName(int endpoint) {
        return world.members[endpoint].name;
    }

    @Override
    public EmulatedAttempt startAttempt(ClientRequest request, int endpoint) {
        return node.connections().start(request, endpoint);
    }

    @Override
    public void cancel(EmulatedAttempt attempt) {
        node.connections().cancel(attempt);
    }

    @Override
    public void reject(ClientRequest request, double retryAfterMs) {
        node.log(request, "refused, to come again in " + Math.round(retryAfterMs) + " ms");
        node.requestHandler().turnAway(request, "refused", node.tally().refused, retryAfterMs);
    }

    @Override
    public void fail(ClientRequest request) {
        node.log(request, "failed");
        node.requestHandler().turnAway(request, "failed", node.tally().failed, 0);
    }

    @Override
    public void migrate(ClientRequest request) {
        node.connections().migrate(request);
    }

    @Override
    public void schedule(double delayMs, Runnable task) {
        node.schedulePolicyTask(delayMs, task);
    }

    @Override
    public void watchEndpoints() {
        node.endpointList().watch();
    }

    @Override
    public GroundTruth groundTruth(int endpoint) {
        return world.members[endpoint];
    }
}

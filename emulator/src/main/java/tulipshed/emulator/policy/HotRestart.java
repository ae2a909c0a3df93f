package tulipshed.emulator.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import tulipshed.decision.api.Outcome;

/**
 * The processes of one node around a hot restart. The older and the younger serve side by side for a moment, each with half
 * of the node's quota and deciding for its own requests; then the older has none of it, sends its clients away and ends.
 */
public final class HotRestart implements Policy {
    private static final double SIDE_BY_SIDE_MS = 1000;
    private static final double HALF = 0.5;

    private final PolicyHost host;
    private final Function<PolicyHost, Policy> policies;
    private int started;
    private NodeProcess serving;
    /** The one that hands over, or null. */
    private NodeProcess older;

    private boolean isOlderServing;

    /** A node with one process. */
    public HotRestart(PolicyHost host, Function<PolicyHost, Policy> policies) {
        this.host = host;
        this.policies = policies;
        serving = new NodeProcess();
    }

    /** One process: what it started ends with it. */
    private final class NodeProcess extends ForwardingPolicyHost {
        private final long seed;
        private final List<ClientRequest> tries = new ArrayList<>();
        private final Policy policy;
        private boolean isOver;

        NodeProcess() {
            super(HotRestart.this.host);
            seed = host.seed() + started++;
            policy = policies.apply(this);
        }

        @Override
        public long seed() {
            return seed;
        }

        @Override
        public void schedule(double delayMs, Runnable task) {
            host.schedule(delayMs, () -> {
                if (!isOver) {
                    task.run();
                }
            });
        }

        void takes(ClientRequest request) {
            request.process = this;
            tries.add(request);
        }

        /** Those of its requests and connections that are not over. */
        List<ClientRequest> held() {
            tries.removeIf(request -> request.indexAtNode < 0);
            return List.copyOf(tries);
        }
    }

    private static Policy of(ClientRequest request) {
        return ((NodeProcess) request.process).policy;
    }

    private List<NodeProcess> running() {
        return older == null ? List.of(serving) : List.of(older, serving);
    }

    // ---- The hand-over ----

    /** Another process starts with the list that the node last had; without effect while one hands over. */
    public void begin(EndpointListDelivery list) {
        if (older != null) {
            return;
        }
        older = serving;
        isOlderServing = true;
        serving = new NodeProcess();
        older.policy.quotaShareChanged(HALF);
        serving.policy.quotaShareChanged(HALF);
        serving.policy.endpointsChanged(list);
        host.watchEndpoints();
        host.schedule(SIDE_BY_SIDE_MS, this::leave);
    }

    private void leave() {
        isOlderServing = false;
        older.policy.quotaShareChanged(0);
        serving.policy.quotaShareChanged(1);
        double leaveMs = host.scenario().nodes().shutdownMs();
        List<ClientRequest> held = older.held();
        for (int i = 0; i < held.size(); i++) {
            ClientRequest request = held.get(i);
            host.schedule(leaveMs * i / held.size(), () -> host.migrate(request));
        }
        host.schedule(leaveMs, this::end);
    }

    private void end() {
        older.policy.shutDown(older.held());
        older.held().forEach(host::migrate);
        older.isOver = true;
        older = null;
    }

    // ---- What the world does to either ----

    @Override
    public void endpointsChanged(EndpointListDelivery delivery) {
        running().forEach(process -> process.policy.endpointsChanged(delivery));
    }

    @Override
    public void requestArrived(ClientRequest request) {
        // Both listen on one address; the system deals out what comes.
        NodeProcess to = isOlderServing && request.id % 2 == 0 ? older : serving;
        to.takes(request);
        to.policy.requestArrived(request);
    }

    @Override
    public void connectionAdopted(ClientRequest request, EmulatedAttempt attempt) {
        serving.takes(request);
        serving.policy.connectionAdopted(request, attempt);
    }

    @Override
    public boolean attemptEstablished(EmulatedAttempt attempt) {
        return of(attempt.request).attemptEstablished(attempt);
    }

    @Override
    public void attemptEnded(EmulatedAttempt attempt, Outcome outcome) {
        of(attempt.request).attemptEnded(attempt, outcome);
    }

    @Override
    public void requestCancelled(ClientRequest request) {
        of(request).requestCancelled(request);
    }

    @Override
    public void latencyReported(EmulatedAttempt attempt, double delayMs) {
        of(attempt.request).latencyReported(attempt, delayMs);
    }

    @Override
    public void loadReported(EmulatedAttempt attempt) {
        of(attempt.request).loadReported(attempt);
    }

    @Override
    public void reconfigure() {
        running().forEach(process -> process.policy.reconfigure());
    }

    @Override
    public void shutDown(List<ClientRequest> pending) {
        running()
                .forEach(process -> process.policy.shutDown(pending.stream()
                        .filter(request -> request.process == process)
                        .toList()));
    }

    @Override
    public void runReadyTasks() {
        running().forEach(process -> process.policy.runReadyTasks());
    }
}

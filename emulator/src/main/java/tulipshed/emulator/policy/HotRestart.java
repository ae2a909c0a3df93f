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
        public void after(double ms, Runnable what) {
            host.after(ms, () -> {
                if (!isOver) {
                    what.run();
                }
            });
        }

        void takes(ClientRequest t) {
            t.process = this;
            tries.add(t);
        }

        /** Those of its requests and connections that are not over. */
        List<ClientRequest> held() {
            tries.removeIf(t -> t.place < 0);
            return List.copyOf(tries);
        }
    }

    private static Policy of(ClientRequest t) {
        return ((NodeProcess) t.process).policy;
    }

    private List<NodeProcess> running() {
        return older == null ? List.of(serving) : List.of(older, serving);
    }

    // ---- The hand-over ----

    /** Another process starts with the list that the node last had; without effect while one hands over. */
    public void begin(EndpointListing.Batch list) {
        if (older != null) {
            return;
        }
        older = serving;
        isOlderServing = true;
        serving = new NodeProcess();
        older.policy.quotaShare(HALF);
        serving.policy.quotaShare(HALF);
        serving.policy.list(list);
        host.watch();
        host.after(SIDE_BY_SIDE_MS, this::leave);
    }

    private void leave() {
        isOlderServing = false;
        older.policy.quotaShare(0);
        serving.policy.quotaShare(1);
        double leaveMs = host.scenario().nodes().leaveMs();
        List<ClientRequest> held = older.held();
        for (int i = 0; i < held.size(); i++) {
            ClientRequest t = held.get(i);
            host.after(leaveMs * i / held.size(), () -> host.move(t));
        }
        host.after(leaveMs, this::end);
    }

    private void end() {
        older.policy.shutDown(older.held());
        older.held().forEach(host::move);
        older.isOver = true;
        older = null;
    }

    // ---- What the world does to either ----

    @Override
    public void list(EndpointListing.Batch news) {
        running().forEach(p -> p.policy.list(news));
    }

    @Override
    public void arrived(ClientRequest t) {
        // Both listen on one address; the system deals out what comes.
        NodeProcess to = isOlderServing && t.id % 2 == 0 ? older : serving;
        to.takes(t);
        to.policy.arrived(t);
    }

    @Override
    public void alreadyOpen(ClientRequest t, EmulatedAttempt f) {
        serving.takes(t);
        serving.policy.alreadyOpen(t, f);
    }

    @Override
    public boolean up(EmulatedAttempt f) {
        return of(f.of).up(f);
    }

    @Override
    public void ended(EmulatedAttempt f, Outcome outcome) {
        of(f.of).ended(f, outcome);
    }

    @Override
    public void left(ClientRequest t) {
        of(t).left(t);
    }

    @Override
    public void delayed(EmulatedAttempt f, double delayMs) {
        of(f.of).delayed(f, delayMs);
    }

    @Override
    public void loadChanged(EmulatedAttempt f) {
        of(f.of).loadChanged(f);
    }

    @Override
    public void reload() {
        running().forEach(p -> p.policy.reload());
    }

    @Override
    public void shutDown(List<ClientRequest> pending) {
        running()
                .forEach(p -> p.policy.shutDown(
                        pending.stream().filter(t -> t.process == p).toList()));
    }

    @Override
    public void settle() {
        running().forEach(p -> p.policy.settle());
    }
}

package tulipshed.emulator.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;

/** The real decision module, told by the emulator what the node's core would tell it. */
final class ModulePolicy extends AttemptingPolicy implements BalancerActions {
    private final Map<Long, ClientRequest> tries = new HashMap<>();
    private final Map<String, Integer> numbers;
    private final BalancerApi module;

    /**
     * A module of its own.
     *
     * @param numbers members by name, the same for all nodes
     */
    ModulePolicy(PolicyHost host, Map<String, Integer> numbers) {
        super(host);
        this.numbers = numbers;
        module = new Balancer(SettingsFactory.of(host.scenario(), host.node()), host.seed(), now(), this);
    }

    private long now() {
        return SettingsFactory.us(host.nowMs());
    }

    private NewRequest request(ClientRequest t, double nowMs) {
        ClientDemand w = t.wish;
        double hint = host.scenario().clients().hints() ? w.usualLoad * 1e6 : 0;
        return new NewRequest(
                t.id,
                w.requestClass,
                w.tenant,
                "k" + t.id,
                SettingsFactory.group(w),
                SettingsFactory.us(t.leftMs(nowMs)),
                hint,
                w.tries > 1,
                false,
                w.returning);
    }

    @Override
    public void list(EndpointListing.Batch batch) {
        List<EndpointInfo> entries = new ArrayList<>(batch.news().size());
        batch.news().forEach(n -> entries.add(n.listed().info()));
        module.endpointsChanged(now(), batch.kind(), entries);
    }

    @Override
    public void reload() {
        module.reconfigure(now(), SettingsFactory.of(host.scenario(), host.node()));
        host.watch();
    }

    @Override
    public void quotaShare(double share) {
        module.quotaShareChanged(now(), share);
    }

    @Override
    void ask(ClientRequest t) {
        tries.put(t.id, t);
        module.requestArrived(now(), request(t, host.nowMs()));
    }

    @Override
    public void alreadyOpen(ClientRequest t, EmulatedAttempt f) {
        tries.put(t.id, t);
        t.owed = false;
        t.standing = true;
        module.connectionAdopted(now(), request(t, host.nowMs()), host.nameOf(f.member));
    }

    @Override
    void started(EmulatedAttempt f, double tookMs) {
        module.attemptEstablished(now(), f.of.id, f.number, SettingsFactory.us(tookMs));
    }

    @Override
    void finished(EmulatedAttempt f, boolean concluded, Outcome outcome) {
        if (concluded) {
            tries.remove(f.of.id);
        }
        module.attemptEnded(now(), f.of.id, f.number, concluded, outcome, LoadReport.NONE);
    }

    @Override
    void abandoned(ClientRequest t) {
        module.requestCancelled(now(), t.id);
        if (t.flow == null) {
            tries.remove(t.id);
        }
    }

    @Override
    public void delayed(EmulatedAttempt f, double delayMs) {
        module.latencyReported(now(), f.of.id, delayMs);
    }

    @Override
    public void loadChanged(EmulatedAttempt f) {
        module.loadReported(now(), f.of.id, f.of.wish.load * 1e6);
    }

    // ---- What the module decides ----

    @Override
    public void startAttempt(long requestId, String server, long timeoutUs) {
        attempt(tries.get(requestId), numbers.get(server), timeoutUs / 1000.0);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        // Called while the client leaves, which ends the attempt in any case.
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        ClientRequest t = tries.remove(requestId);
        t.owed = false;
        host.refuse(t, retryAfterUs / 1000.0);
    }

    @Override
    public void fail(long requestId) {
        ClientRequest t = tries.remove(requestId);
        t.owed = false;
        host.fail(t);
    }

    @Override
    public void migrate(long requestId) {
        ClientRequest t = tries.get(requestId);
        if (t != null) {
            host.move(t);
        }
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        host.after(afterUs / 1000.0, () -> module.timerFired(now(), token));
    }

    @Override
    public void startHealthCheck(String server) {
        throw new UnsupportedOperationException("members are not probed");
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        throw new UnsupportedOperationException("nodes do not talk");
    }

    @Override
    public void watchEndpoints() {
        host.watch();
    }

    @Override
    public void log(String message) {}
}

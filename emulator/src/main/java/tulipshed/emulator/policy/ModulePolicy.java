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

    private NewRequest request(ClientRequest request, double nowMs) {
        ClientDemand demand = request.demand;
        double hint = host.scenario().clients().sendsLoadHints() ? demand.usualLoad * 1e6 : 0;
        return new NewRequest(
                request.id,
                demand.requestClass,
                demand.tenant,
                "k" + request.id,
                SettingsFactory.group(demand),
                SettingsFactory.us(request.remainingMs(nowMs)),
                hint,
                demand.requestCount > 1,
                false,
                demand.reconnecting);
    }

    @Override
    public void endpointsChanged(EndpointListDelivery delivery) {
        List<EndpointInfo> entries = new ArrayList<>(delivery.listings().size());
        delivery.listings().forEach(listing -> entries.add(listing.entry().info()));
        module.endpointsChanged(now(), delivery.kind(), entries);
    }

    @Override
    public void reconfigure() {
        module.reconfigure(now(), SettingsFactory.of(host.scenario(), host.node()));
        host.watchEndpoints();
    }

    @Override
    public void quotaShareChanged(double share) {
        module.quotaShareChanged(now(), share);
    }

    @Override
    void decide(ClientRequest request) {
        tries.put(request.id, request);
        module.requestArrived(now(), request(request, host.nowMs()));
    }

    @Override
    public void connectionAdopted(ClientRequest request, EmulatedAttempt attempt) {
        tries.put(request.id, request);
        request.answerPending = false;
        request.established = true;
        module.connectionAdopted(now(), request(request, host.nowMs()), host.endpointName(attempt.endpoint));
    }

    @Override
    void started(EmulatedAttempt attempt, double tookMs) {
        module.attemptEstablished(now(), attempt.request.id, attempt.number, SettingsFactory.us(tookMs));
    }

    @Override
    void finished(EmulatedAttempt attempt, boolean concluded, Outcome outcome) {
        if (concluded) {
            tries.remove(attempt.request.id);
        }
        module.attemptEnded(now(), attempt.request.id, attempt.number, concluded, outcome, LoadReport.NONE);
    }

    @Override
    void abandoned(ClientRequest request) {
        module.requestCancelled(now(), request.id);
        if (request.attempt == null) {
            tries.remove(request.id);
        }
    }

    @Override
    public void latencyReported(EmulatedAttempt attempt, double delayMs) {
        module.latencyReported(now(), attempt.request.id, delayMs);
    }

    @Override
    public void loadReported(EmulatedAttempt attempt) {
        module.loadReported(now(), attempt.request.id, attempt.request.demand.load * 1e6);
    }

    // ---- What the module decides ----

    @Override
    public void startAttempt(long requestId, String server, long timeoutUs) {
        startAttempt(tries.get(requestId), numbers.get(server), timeoutUs / 1000.0);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        // Called while the client leaves, which ends the attempt in any case.
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        ClientRequest request = tries.remove(requestId);
        request.answerPending = false;
        host.reject(request, retryAfterUs / 1000.0);
    }

    @Override
    public void fail(long requestId) {
        ClientRequest request = tries.remove(requestId);
        request.answerPending = false;
        host.fail(request);
    }

    @Override
    public void migrate(long requestId) {
        ClientRequest request = tries.get(requestId);
        if (request != null) {
            host.migrate(request);
        }
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        host.schedule(afterUs / 1000.0, () -> module.timerFired(now(), token));
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
        host.watchEndpoints();
    }

    @Override
    public void log(String message) {}
}

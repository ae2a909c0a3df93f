package tulipshed.proxy;

import org.jboss.logging.Logger;
import tulipshed.decision.BalancerApi;
import tulipshed.logging.NodeLog;
import tulipshed.time.Clock;

/** Keeps what the module decides until the whole batch has been handed over. */
final class DecisionBuffer implements BalancerApi.Actions {
    private final ProxyCore core;
    private final EventBatch turns;
    private final Clock clock;
    private final Logger log;

    DecisionBuffer(ProxyCore core, EventBatch turns, Clock clock, NodeLog log) {
        this.core = core;
        this.turns = turns;
        this.clock = clock;
        this.log = log.logger("balancer");
    }

    @Override
    public void startAttempt(long requestId, String server, long timeoutUs) {
        turns.defer(() -> core.startAttempt(requestId, server, Clock.toMillis(timeoutUs)));
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        turns.defer(() -> core.cancelAttempt(requestId, attempt));
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        turns.defer(() -> core.reject(requestId, Clock.toMillis(retryAfterUs)));
    }

    @Override
    public void fail(long requestId) {
        turns.defer(() -> core.fail(requestId));
    }

    @Override
    public void migrate(long requestId) {
        turns.defer(() -> core.migrate(requestId));
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        turns.schedule(
                clock.nowMs() + Clock.toMillis(afterUs),
                () -> turns.add((module, ms, nowUs) -> module.timerFired(nowUs, token)));
    }

    @Override
    public void startHealthCheck(String server) {
        turns.defer(() -> core.startHealthCheck(server));
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        turns.defer(() -> core.sendToPeer(peer, body));
    }

    @Override
    public void watchEndpoints() {
        turns.defer(core::watchEndpoints);
    }

    @Override
    public void log(String message) {
        log.warn(message);
    }
}

package tulipshed.proxy;

import org.jboss.logging.Logger;
import tulipshed.decision.api.BalancerActions;
import tulipshed.logging.NodeLog;
import tulipshed.time.Clock;

/**
 * Defers the decisions of the decision module until all events of the batch have been delivered. Timers and log lines take
 * effect immediately. Confined to the event-loop thread.
 */
final class DecisionBuffer implements BalancerActions {
    private static final String LOG_SUBJECT = "balancer";

    private final Targets targets;
    private final EventBatch events;
    private final Clock clock;
    private final Logger log;

    /** The components that carry out the decisions. */
    record Targets(
            RequestLifecycle requests,
            AttemptManager attempts,
            ConnectionMigrator migrator,
            HealthCheckDispatcher healthChecks,
            PeerSender peers,
            EndpointListSource endpointList) {}

    DecisionBuffer(Targets targets, EventBatch events, Clock clock, NodeLog log) {
        this.targets = targets;
        this.events = events;
        this.clock = clock;
        this.log = log.logger(LOG_SUBJECT);
    }

    @Override
    public void startAttempt(long requestId, String endpointId, long timeoutUs) {
        events.defer(() -> targets.attempts().start(requestId, endpointId, Clock.toMillis(timeoutUs)));
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        events.defer(() -> targets.attempts().cancel(requestId, attemptNumber));
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        events.defer(() -> targets.requests().reject(requestId, Clock.toMillis(retryAfterUs)));
    }

    @Override
    public void fail(long requestId) {
        events.defer(() -> targets.requests().fail(requestId));
    }

    @Override
    public void migrate(long requestId) {
        events.defer(() -> targets.migrator().migrate(requestId));
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        events.schedule(
                clock.nowMs() + Clock.toMillis(afterUs),
                () -> events.add((balancer, nowMs, nowUs) -> balancer.timerFired(nowUs, token)));
    }

    @Override
    public void startHealthCheck(String endpointId) {
        events.defer(() -> targets.healthChecks().start(endpointId));
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        events.defer(() -> targets.peers().send(peer, body));
    }

    @Override
    public void watchEndpoints() {
        events.defer(targets.endpointList()::watch);
    }

    @Override
    public void log(String message) {
        log.warn(message);
    }
}

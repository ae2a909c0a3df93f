package tulipshed.decision;

import tulipshed.decision.api.BalancerActions;

/** Forwards all actions to another receiver; tests override the ones they check. */
class ForwardingActions implements BalancerActions {
    private final BalancerActions receiver;

    ForwardingActions(BalancerActions receiver) {
        this.receiver = receiver;
    }

    @Override
    public void startAttempt(long requestId, String endpointId, long timeoutUs) {
        receiver.startAttempt(requestId, endpointId, timeoutUs);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        receiver.cancelAttempt(requestId, attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        receiver.reject(requestId, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        receiver.fail(requestId);
    }

    @Override
    public void migrate(long requestId) {
        receiver.migrate(requestId);
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        receiver.scheduleTimer(afterUs, token);
    }

    @Override
    public void startHealthCheck(String endpointId) {
        receiver.startHealthCheck(endpointId);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        receiver.sendToPeer(peer, body);
    }

    @Override
    public void watchEndpoints() {
        receiver.watchEndpoints();
    }

    @Override
    public void log(String message) {
        receiver.log(message);
    }
}

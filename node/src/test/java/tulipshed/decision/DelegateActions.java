package tulipshed.decision;

/** Passes everything on; tests override what they look at. */
class DelegateActions implements BalancerApi.Actions {
    private final BalancerApi.Actions to;

    DelegateActions(BalancerApi.Actions to) {
        this.to = to;
    }

    @Override
    public void startAttempt(long requestId, String server, long timeoutUs) {
        to.startAttempt(requestId, server, timeoutUs);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        to.cancelAttempt(requestId, attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        to.reject(requestId, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        to.fail(requestId);
    }

    @Override
    public void migrate(long requestId) {
        to.migrate(requestId);
    }

    @Override
    public void scheduleTimer(long afterUs, long token) {
        to.scheduleTimer(afterUs, token);
    }

    @Override
    public void startHealthCheck(String server) {
        to.startHealthCheck(server);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        to.sendToPeer(peer, body);
    }

    @Override
    public void watchEndpoints() {
        to.watchEndpoints();
    }

    @Override
    public void log(String message) {
        to.log(message);
    }
}

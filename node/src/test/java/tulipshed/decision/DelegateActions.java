package tulipshed.decision;

/** Passes everything on; tests override what they look at. */
class DelegateActions implements BalancerApi.Actions {
    private final BalancerApi.Actions to;

    DelegateActions(BalancerApi.Actions to) {
        this.to = to;
    }

    @Override
    public void send(long request, String server, long timeoutUs) {
        to.send(request, server, timeoutUs);
    }

    @Override
    public void cancel(long request, int attempt) {
        to.cancel(request, attempt);
    }

    @Override
    public void refuse(long request, long retryAfterUs) {
        to.refuse(request, retryAfterUs);
    }

    @Override
    public void fail(long request) {
        to.fail(request);
    }

    @Override
    public void move(long request) {
        to.move(request);
    }

    @Override
    public void timer(long afterUs, long token) {
        to.timer(afterUs, token);
    }

    @Override
    public void probe(String server) {
        to.probe(server);
    }

    @Override
    public void tell(int peer, byte[] body) {
        to.tell(peer, body);
    }

    @Override
    public void watchList() {
        to.watchList();
    }

    @Override
    public void log(String message) {
        to.log(message);
    }
}

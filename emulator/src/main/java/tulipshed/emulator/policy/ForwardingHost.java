package tulipshed.emulator.policy;

import tulipshed.emulator.scenario.Scenario;

/** A host that passes on all that it is asked to another one, but for what a subclass does in its own way. */
abstract class ForwardingHost implements Host {
    /** The one that it is passed on to. */
    final Host host;

    ForwardingHost(Host host) {
        this.host = host;
    }

    @Override
    public double nowMs() {
        return host.nowMs();
    }

    @Override
    public double clockMs() {
        return host.clockMs();
    }

    @Override
    public Scenario scenario() {
        return host.scenario();
    }

    @Override
    public int node() {
        return host.node();
    }

    @Override
    public long seed() {
        return host.seed();
    }

    @Override
    public int members() {
        return host.members();
    }

    @Override
    public String nameOf(int member) {
        return host.nameOf(member);
    }

    @Override
    public Flow dial(Try t, int member) {
        return host.dial(t, member);
    }

    @Override
    public void giveUp(Flow f) {
        host.giveUp(f);
    }

    @Override
    public void refuse(Try t, double retryAfterMs) {
        host.refuse(t, retryAfterMs);
    }

    @Override
    public void fail(Try t) {
        host.fail(t);
    }

    @Override
    public void move(Try t) {
        host.move(t);
    }

    @Override
    public void after(double ms, Runnable what) {
        host.after(ms, what);
    }

    @Override
    public void watch() {
        host.watch();
    }

    @Override
    public Truth truth(int member) {
        return host.truth(member);
    }
}

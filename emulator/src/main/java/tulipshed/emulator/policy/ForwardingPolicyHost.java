package tulipshed.emulator.policy;

import tulipshed.emulator.scenario.Scenario;

/** A host that passes on all that it is asked to another one, but for what a subclass does in its own way. */
abstract class ForwardingPolicyHost implements PolicyHost {
    /** The one that it is passed on to. */
    final PolicyHost host;

    ForwardingPolicyHost(PolicyHost host) {
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
    public EmulatedAttempt dial(ClientRequest t, int member) {
        return host.dial(t, member);
    }

    @Override
    public void giveUp(EmulatedAttempt f) {
        host.giveUp(f);
    }

    @Override
    public void refuse(ClientRequest t, double retryAfterMs) {
        host.refuse(t, retryAfterMs);
    }

    @Override
    public void fail(ClientRequest t) {
        host.fail(t);
    }

    @Override
    public void move(ClientRequest t) {
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

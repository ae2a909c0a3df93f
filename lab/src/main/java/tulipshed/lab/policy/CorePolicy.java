package tulipshed.lab.policy;

import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.Map;
import tulipshed.decision.Balancer;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.lab.scenario.Scenario;
import tulipshed.limits.Limits;
import tulipshed.proxy.Loop;
import tulipshed.proxy.MemberConnector;
import tulipshed.proxy.ServerSideFlow;
import tulipshed.proxy.Transaction;
import tulipshed.proxy.TransactionCore;
import tulipshed.proxy.VirtualServer;

/** The node's whole core, with its timers on the virtual clock; the emulated network is its front and its connector. */
final class CorePolicy implements Policy, Loop, MemberConnector {
    private static final int DESCRIPTORS = 1024; // the core itself counts none

    private final Host host;
    private final Map<String, Integer> numbers;
    private final ArrayDeque<Runnable> ready = new ArrayDeque<>();
    private final Map<Transaction, Client> byTransaction = new IdentityHashMap<>();
    private final TransactionCore core;
    /** The connection that stood before, while the core takes it. */
    private Flow standing;

    CorePolicy(Host host, Map<String, Integer> numbers) {
        this.host = host;
        this.numbers = numbers;
        Scenario s = host.scenario();
        core = new TransactionCore(
                host::nowMs,
                Limits.forDescriptors(DESCRIPTORS),
                SettingsOf.of(s, host.node()),
                host.seed(),
                this,
                m -> {
                    if (m.startsWith("fault")) {
                        throw new IllegalStateException(m);
                    }
                },
                Balancer::new);
        core.source(host::watch);
    }

    /** One client's transaction, as its front would hold it. */
    private final class Client implements VirtualServer {
        private final Try t;
        private final Transaction transaction;

        Client(Try t, boolean stoodBefore) {
            this.t = t;
            Wish w = t.wish;
            Scenario s = host.scenario();
            transaction = new Transaction(
                    this,
                    CorePolicy.this,
                    new Transaction.Arrival(
                            w.requestClass,
                            w.tenant,
                            "k" + t.id,
                            SettingsOf.group(w),
                            t.leftMs(host.nowMs()),
                            s.clients().hints() ? w.usualLoad * 1e6 : 0,
                            w.tries > 1,
                            w.returning),
                    host.nowMs(),
                    stoodBefore);
        }

        @Override
        public void reject(double retryAfterMs) {
            t.owed = false;
            forget(t);
            host.refuse(t, retryAfterMs);
        }

        @Override
        public void fail() {
            t.owed = false;
            forget(t);
            host.fail(t);
        }

        @Override
        public void move() {
            host.move(t);
        }
    }

    // ---- The loop ----

    @Override
    public void afterGathering(Runnable task) {
        ready.add(task);
    }

    @Override
    public void after(double ms, Runnable task) {
        host.after(ms, task);
    }

    @Override
    public void settle() {
        Runnable task;
        while ((task = ready.poll()) != null) {
            task.run();
        }
    }

    @Override
    public void reload() {
        core.reconfigure(SettingsOf.of(host.scenario(), host.node()));
        // As the node's own watch does when discovery moves: asked for all, at once.
        host.watch();
    }

    // ---- The connector ----

    @Override
    public void open(ServerSideFlow flow) {
        Client c = client(flow);
        if (standing != null) {
            standing.kept = flow;
            c.t.kept = c;
            core.up(flow);
            standing = null;
            return;
        }
        if (!core.maySend(flow)) {
            core.ended(flow, Outcome.UNUSED);
            return;
        }
        Flow f = host.dial(c.t, numbers.get(flow.member().id()));
        f.kept = flow;
        core.dispatched();
    }

    @Override
    public void giveUp(ServerSideFlow flow) {
        Client c = client(flow);
        if (c != null && c.t.flow != null && c.t.flow.kept == flow) {
            host.giveUp(c.t.flow);
        }
    }

    private Client client(ServerSideFlow flow) {
        return byTransaction.get(flow.transaction());
    }

    private void forget(Try t) {
        if (t.kept instanceof Client c) {
            byTransaction.remove(c.transaction);
        }
    }

    // ---- What happens ----

    @Override
    public void list(MemberNews.Batch batch) {
        core.members(batch.kind(), batch.news().stream().map(MemberNews::listed).toList());
    }

    @Override
    public void arrived(Try t) {
        Client c = new Client(t, false);
        t.kept = c;
        byTransaction.put(c.transaction, c);
        core.arrived(c.transaction);
    }

    @Override
    public void alreadyOpen(Try t, Flow f) {
        Client c = new Client(t, true);
        t.kept = c;
        t.owed = false;
        t.standing = true;
        byTransaction.put(c.transaction, c);
        standing = f;
        core.alreadyOpen(c.transaction, host.nameOf(f.member));
        settle();
        standing = null;
    }

    @Override
    public boolean up(Flow f) {
        if (f.over || !core.up((ServerSideFlow) f.kept)) {
            return false;
        }
        f.of.owed = false;
        f.of.standing = true;
        return true;
    }

    @Override
    public void ended(Flow f, Outcome outcome) {
        if (f.kept != null) {
            core.ended((ServerSideFlow) f.kept, outcome);
        }
        if (!f.of.owed) {
            forget(f.of);
        }
    }

    @Override
    public void left(Try t) {
        t.owed = false;
        core.clientLeft(((Client) t.kept).transaction);
        settle();
        forget(t);
    }

    @Override
    public void delayed(Flow f, double delayMs) {
        core.delayed((ServerSideFlow) f.kept, delayMs);
    }

    @Override
    public void loadChanged(Flow f) {
        core.loadChanged((ServerSideFlow) f.kept, f.of.wish.load * 1e6);
    }
}

package tulipshed.emulator.policy;

import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.Outcome;
import tulipshed.discovery.EndpointStartTimes;
import tulipshed.discovery.ListedEndpoint;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.Attempt;
import tulipshed.proxy.ClientConnection;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.proxy.EventLoop;
import tulipshed.proxy.ProxyCore;
import tulipshed.proxy.Request;
import tulipshed.proxy.RequestParameters;
import tulipshed.proxy.UpstreamConnector;
import tulipshed.time.WallTime;

/** The node's whole core, with its timers on the virtual clock; the emulated network is its front and its connector. */
final class CorePolicy implements Policy, EventLoop, UpstreamConnector {
    private static final int DESCRIPTORS = 1024; // the core itself counts none

    private final PolicyHost host;
    private final Map<String, Integer> numbers;
    private final ArrayDeque<Runnable> ready = new ArrayDeque<>();
    private final IdentityHashMap<Request, Client> byTransaction = new IdentityHashMap<>();
    /** An event that the core cannot handle ends the run: it is a defect of the program. */
    private static final NodeLog ERRORS = NodeLog.errorsTo(line -> {
        throw new IllegalStateException(line);
    });

    private static final long BEGINNING_EPOCH_MS = 1_700_000_000_000L; // the wall time of the world's beginning

    private final ProxyCore core;
    private final EndpointStartTimes startTimes;
    private final boolean trustsClocks;
    /** The connection that stood before, while the core takes it. */
    private EmulatedAttempt standing;

    CorePolicy(PolicyHost host, Map<String, Integer> numbers) {
        this(host, numbers, false);
    }

    /**
     * A core with a fault or without.
     *
     * @param trustsClocks whether it takes the starts in lists as if all machines read its own clock
     */
    CorePolicy(PolicyHost host, Map<String, Integer> numbers, boolean trustsClocks) {
        this.host = host;
        this.numbers = numbers;
        this.trustsClocks = trustsClocks;
        startTimes = new EndpointStartTimes(host::clockMs);
        Scenario s = host.scenario();
        core = new ProxyCore(
                host::clockMs,
                Limits.forDescriptors(DESCRIPTORS),
                SettingsFactory.of(s, host.node()),
                host.seed(),
                this,
                ERRORS,
                Balancer::new);
        core.setEndpointListSource(host::watch);
    }

    /** One client's transaction, as its front would hold it. */
    private final class Client implements ClientConnection {
        private final ClientRequest t;
        private final Request transaction;

        Client(ClientRequest t, boolean stoodBefore) {
            this.t = t;
            ClientDemand w = t.wish;
            Scenario s = host.scenario();
            transaction = new Request(
                    this,
                    CorePolicy.this,
                    new RequestParameters(
                            w.requestClass,
                            w.tenant,
                            "k" + t.id,
                            SettingsFactory.group(w),
                            t.leftMs(host.nowMs()),
                            s.clients().hints() ? w.usualLoad * 1e6 : 0,
                            w.tries > 1,
                            w.returning),
                    host.clockMs(),
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
        public void migrate() {
            host.move(t);
        }
    }

    // ---- The loop ----

    @Override
    public void execute(Runnable task) {
        ready.add(task);
    }

    @Override
    public void schedule(double ms, Runnable task) {
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
        core.reconfigure(SettingsFactory.of(host.scenario(), host.node()));
        // As the node's own watch does when discovery moves: asked for all, at once.
        host.watch();
    }

    @Override
    public void quotaShare(double share) {
        core.setQuotaShare(share);
    }

    @Override
    public void shutDown(List<ClientRequest> pending) {
        core.rejectAllPending();
        settle();
    }

    // ---- The connector ----

    @Override
    public void open(Attempt attempt) {
        Client c = client(attempt);
        if (standing != null) {
            standing.kept = attempt;
            c.t.kept = c;
            core.attemptEstablished(attempt);
            standing = null;
            return;
        }
        if (!core.mayForward(attempt)) {
            core.attemptEnded(attempt, Outcome.UNUSED);
            return;
        }
        EmulatedAttempt f = host.dial(c.t, numbers.get(attempt.endpoint().id()));
        f.kept = attempt;
        core.attemptForwarded();
    }

    @Override
    public void abandon(Attempt attempt) {
        Client c = client(attempt);
        if (c != null && c.t.flow != null && c.t.flow.kept == attempt) {
            host.giveUp(c.t.flow);
        }
    }

    private Client client(Attempt attempt) {
        return byTransaction.get(attempt.request());
    }

    private void forget(ClientRequest t) {
        if (t.kept instanceof Client c) {
            byTransaction.remove(c.transaction);
        }
    }

    // ---- What happens ----

    @Override
    public void list(EndpointListing.Batch batch) {
        List<EndpointListEntry> entries = trustsClocks
                ? batch.news().stream().map(CorePolicy::asStamped).toList()
                : startTimes.translate(
                        batch.kind(),
                        batch.news().stream().map(CorePolicy::asListed).toList());
        core.endpointsChanged(batch.kind(), entries);
    }

    /** What discovery says of a member: its start is a wall time, on the clock of the member's machine. */
    private static ListedEndpoint asListed(EndpointListing news) {
        EndpointInfo info = news.listed().info();
        WallTime started = info.startedUs() == 0
                ? ListedEndpoint.LONG_AGO
                : new WallTime(BEGINNING_EPOCH_MS + Math.round(info.startedUs() / 1000.0 + news.clockOffMs()));
        return new ListedEndpoint(
                info.id(),
                info.status(),
                info.zone(),
                info.cell(),
                info.machineType(),
                info.weight(),
                started,
                news.listed().address());
    }

    /** The same as a node would take it that held all clocks for one. */
    private static EndpointListEntry asStamped(EndpointListing news) {
        EndpointInfo info = news.listed().info();
        long startedUs = info.startedUs() == 0 ? 0 : info.startedUs() + SettingsFactory.us(news.clockOffMs());
        return new EndpointListEntry(
                new EndpointInfo(
                        info.id(),
                        info.status(),
                        info.zone(),
                        info.cell(),
                        info.machineType(),
                        info.weight(),
                        startedUs),
                news.listed().address());
    }

    @Override
    public void arrived(ClientRequest t) {
        Client c = new Client(t, false);
        t.kept = c;
        byTransaction.put(c.transaction, c);
        core.requestArrived(c.transaction);
    }

    @Override
    public void alreadyOpen(ClientRequest t, EmulatedAttempt f) {
        Client c = new Client(t, true);
        t.kept = c;
        t.owed = false;
        t.standing = true;
        byTransaction.put(c.transaction, c);
        standing = f;
        core.adoptConnection(c.transaction, host.nameOf(f.member));
        settle();
        standing = null;
    }

    @Override
    public boolean up(EmulatedAttempt f) {
        if (f.over || !core.attemptEstablished((Attempt) f.kept)) {
            return false;
        }
        f.of.owed = false;
        f.of.standing = true;
        return true;
    }

    @Override
    public void ended(EmulatedAttempt f, Outcome outcome) {
        if (f.kept != null) {
            core.attemptEnded((Attempt) f.kept, outcome);
        }
        if (!f.of.owed) {
            forget(f.of);
        }
    }

    @Override
    public void left(ClientRequest t) {
        t.owed = false;
        core.clientDisconnected(((Client) t.kept).transaction);
        settle();
        forget(t);
    }

    @Override
    public void delayed(EmulatedAttempt f, double delayMs) {
        core.latencyReported((Attempt) f.kept, delayMs);
    }

    @Override
    public void loadChanged(EmulatedAttempt f) {
        core.loadReported((Attempt) f.kept, f.of.wish.load * 1e6);
    }
}

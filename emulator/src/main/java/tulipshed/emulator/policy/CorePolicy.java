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
        Scenario scenario = host.scenario();
        core = new ProxyCore(
                host::clockMs,
                Limits.forDescriptors(DESCRIPTORS),
                SettingsFactory.of(scenario, host.node()),
                host.seed(),
                this,
                ERRORS,
                Balancer::new);
        core.setEndpointListSource(host::watchEndpoints);
    }

    /** One client's transaction, as its front would hold it. */
    private final class Client implements ClientConnection {
        private final ClientRequest t;
        private final Request transaction;

        Client(ClientRequest request, boolean stoodBefore) {
            this.t = request;
            ClientDemand demand = request.demand;
            Scenario scenario = host.scenario();
            transaction = new Request(
                    this,
                    CorePolicy.this,
                    new RequestParameters(
                            demand.requestClass,
                            demand.tenant,
                            "k" + request.id,
                            SettingsFactory.group(demand),
                            request.remainingMs(host.nowMs()),
                            scenario.clients().sendsLoadHints() ? demand.usualLoad * 1e6 : 0,
                            demand.requestCount > 1,
                            demand.reconnecting),
                    host.clockMs(),
                    stoodBefore);
        }

        @Override
        public void reject(double retryAfterMs) {
            t.answerPending = false;
            forget(t);
            host.reject(t, retryAfterMs);
        }

        @Override
        public void fail() {
            t.answerPending = false;
            forget(t);
            host.fail(t);
        }

        @Override
        public void migrate() {
            host.migrate(t);
        }
    }

    // ---- The loop ----

    @Override
    public void execute(Runnable task) {
        ready.add(task);
    }

    @Override
    public void schedule(double ms, Runnable task) {
        host.schedule(ms, task);
    }

    @Override
    public void runReadyTasks() {
        Runnable task;
        while ((task = ready.poll()) != null) {
            task.run();
        }
    }

    @Override
    public void reconfigure() {
        core.reconfigure(SettingsFactory.of(host.scenario(), host.node()));
        // As the node's own watch does when discovery moves: asked for all, at once.
        host.watchEndpoints();
    }

    @Override
    public void quotaShareChanged(double share) {
        core.setQuotaShare(share);
    }

    @Override
    public void shutDown(List<ClientRequest> pending) {
        core.rejectAllPending();
        runReadyTasks();
    }

    // ---- The connector ----

    @Override
    public void open(Attempt attempt) {
        Client c = client(attempt);
        if (standing != null) {
            standing.policyState = attempt;
            c.t.policyState = c;
            core.attemptEstablished(attempt);
            standing = null;
            return;
        }
        if (!core.mayForward(attempt)) {
            core.attemptEnded(attempt, Outcome.UNUSED);
            return;
        }
        EmulatedAttempt emulated =
                host.startAttempt(c.t, numbers.get(attempt.endpoint().id()));
        emulated.policyState = attempt;
        core.attemptForwarded();
    }

    @Override
    public void abandon(Attempt attempt) {
        Client c = client(attempt);
        if (c != null && c.t.attempt != null && c.t.attempt.policyState == attempt) {
            host.cancel(c.t.attempt);
        }
    }

    private Client client(Attempt attempt) {
        return byTransaction.get(attempt.request());
    }

    private void forget(ClientRequest request) {
        if (request.policyState instanceof Client c) {
            byTransaction.remove(c.transaction);
        }
    }

    // ---- What happens ----

    @Override
    public void endpointsChanged(EndpointListDelivery delivery) {
        List<EndpointListEntry> entries = trustsClocks
                ? delivery.listings().stream().map(CorePolicy::asStamped).toList()
                : startTimes.translate(
                        delivery.kind(),
                        delivery.listings().stream().map(CorePolicy::asListed).toList());
        core.endpointsChanged(delivery.kind(), entries);
    }

    /** What discovery says of a member: its start is a wall time, on the clock of the member's machine. */
    private static ListedEndpoint asListed(EndpointListing listing) {
        EndpointInfo info = listing.entry().info();
        WallTime started = info.startedUs() == 0
                ? ListedEndpoint.LONG_AGO
                : new WallTime(BEGINNING_EPOCH_MS + Math.round(info.startedUs() / 1000.0 + listing.clockOffsetMs()));
        return new ListedEndpoint(
                info.id(),
                info.status(),
                info.zone(),
                info.cell(),
                info.machineType(),
                info.weight(),
                started,
                listing.entry().address());
    }

    /** The same as a node would take it that held all clocks for one. */
    private static EndpointListEntry asStamped(EndpointListing listing) {
        EndpointInfo info = listing.entry().info();
        long startedUs = info.startedUs() == 0 ? 0 : info.startedUs() + SettingsFactory.us(listing.clockOffsetMs());
        return new EndpointListEntry(
                new EndpointInfo(
                        info.id(),
                        info.status(),
                        info.zone(),
                        info.cell(),
                        info.machineType(),
                        info.weight(),
                        startedUs),
                listing.entry().address());
    }

    @Override
    public void requestArrived(ClientRequest request) {
        Client c = new Client(request, false);
        request.policyState = c;
        byTransaction.put(c.transaction, c);
        core.requestArrived(c.transaction);
    }

    @Override
    public void connectionAdopted(ClientRequest request, EmulatedAttempt attempt) {
        Client c = new Client(request, true);
        request.policyState = c;
        request.answerPending = false;
        request.established = true;
        byTransaction.put(c.transaction, c);
        standing = attempt;
        core.adoptConnection(c.transaction, host.endpointName(attempt.endpoint));
        runReadyTasks();
        standing = null;
    }

    @Override
    public boolean attemptEstablished(EmulatedAttempt attempt) {
        if (attempt.ended || !core.attemptEstablished((Attempt) attempt.policyState)) {
            return false;
        }
        attempt.request.answerPending = false;
        attempt.request.established = true;
        return true;
    }

    @Override
    public void attemptEnded(EmulatedAttempt attempt, Outcome outcome) {
        if (attempt.policyState != null) {
            core.attemptEnded((Attempt) attempt.policyState, outcome);
        }
        if (!attempt.request.answerPending) {
            forget(attempt.request);
        }
    }

    @Override
    public void requestCancelled(ClientRequest request) {
        request.answerPending = false;
        core.clientDisconnected(((Client) request.policyState).transaction);
        runReadyTasks();
        forget(request);
    }

    @Override
    public void latencyReported(EmulatedAttempt attempt, double delayMs) {
        core.latencyReported((Attempt) attempt.policyState, delayMs);
    }

    @Override
    public void loadReported(EmulatedAttempt attempt) {
        core.loadReported((Attempt) attempt.policyState, attempt.request.demand.load * 1e6);
    }
}

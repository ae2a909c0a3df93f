package tulipshed.emulator.policy;

import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.Outcome;
import tulipshed.discovery.EndpointStartTimes;
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

/**
 * The node's whole core, {@link ProxyCore}, with its timers on the virtual clock. The emulated network takes the place of
 * the frontend and of the upstream connector.
 */
final class CorePolicy implements Policy, EventLoop, UpstreamConnector {
    /** Limit of file descriptors; the core itself opens none. */
    private static final int DESCRIPTORS = 1024;

    private final PolicyHost host;
    private final Map<String, Integer> endpointIndexes;
    private final ArrayDeque<Runnable> readyTasks = new ArrayDeque<>();
    private final IdentityHashMap<Request, Client> clients = new IdentityHashMap<>();
    /** An event that the core cannot handle is a defect of the program and ends the run. */
    private static final NodeLog ERRORS = NodeLog.errorsTo(line -> {
        throw new IllegalStateException(line);
    });

    private final ProxyCore core;
    private final EndpointStartTimes startTimes;
    private final boolean trustsClocks;
    /** The established connection that the core is adopting; null otherwise. */
    private EmulatedAttempt adopted;

    CorePolicy(PolicyHost host, Map<String, Integer> endpointIndexes) {
        this(host, endpointIndexes, false);
    }

    /**
     * A core, with or without a defect.
     *
     * @param trustsClocks whether the start times in lists are taken as if all machines read one clock
     */
    CorePolicy(PolicyHost host, Map<String, Integer> endpointIndexes, boolean trustsClocks) {
        this.host = host;
        this.endpointIndexes = endpointIndexes;
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

    /** One client's request, as a frontend would hold it. */
    private final class Client implements ClientConnection {
        private final ClientRequest clientRequest;
        private final Request request;

        Client(ClientRequest clientRequest, boolean adopted) {
            this.clientRequest = clientRequest;
            ClientDemand demand = clientRequest.demand;
            boolean sendsLoadHints = host.scenario().clients().sendsLoadHints();
            request = new Request(
                    this,
                    CorePolicy.this,
                    new RequestParameters(
                            demand.requestClass,
                            demand.tenant,
                            "k" + clientRequest.id,
                            SettingsFactory.groupName(demand),
                            clientRequest.remainingMs(host.nowMs()),
                            sendsLoadHints ? demand.usualLoad * 1e6 : 0,
                            demand.requestCount > 1,
                            demand.reconnecting),
                    host.clockMs(),
                    adopted);
        }

        @Override
        public void reject(double retryAfterMs) {
            clientRequest.answerPending = false;
            forget(clientRequest);
            host.reject(clientRequest, retryAfterMs);
        }

        @Override
        public void fail() {
            clientRequest.answerPending = false;
            forget(clientRequest);
            host.fail(clientRequest);
        }

        @Override
        public void migrate() {
            host.migrate(clientRequest);
        }
    }

    // ---- Event loop ----

    @Override
    public void execute(Runnable task) {
        readyTasks.add(task);
    }

    @Override
    public void schedule(double ms, Runnable task) {
        host.schedule(ms, task);
    }

    @Override
    public void runReadyTasks() {
        Runnable task;
        while ((task = readyTasks.poll()) != null) {
            task.run();
        }
    }

    @Override
    public void reconfigure() {
        core.reconfigure(SettingsFactory.of(host.scenario(), host.node()));
        // As in a real node, whose watch of a discovery that moved begins with the complete list.
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

    // ---- Upstream connector ----

    @Override
    public void open(Attempt attempt) {
        Client client = client(attempt);
        if (adopted != null) {
            adopted.policyState = attempt;
            client.clientRequest.policyState = client;
            core.attemptEstablished(attempt);
            adopted = null;
            return;
        }
        if (!core.mayForward(attempt)) {
            core.attemptEnded(attempt, Outcome.UNUSED);
            return;
        }
        EmulatedAttempt emulated = host.startAttempt(
                client.clientRequest, endpointIndexes.get(attempt.endpoint().id()));
        emulated.policyState = attempt;
        core.attemptForwarded();
    }

    @Override
    public void abandon(Attempt attempt) {
        Client client = client(attempt);
        if (client != null
                && client.clientRequest.attempt != null
                && client.clientRequest.attempt.policyState == attempt) {
            host.cancel(client.clientRequest.attempt);
        }
    }

    private Client client(Attempt attempt) {
        return clients.get(attempt.request());
    }

    private void forget(ClientRequest request) {
        if (request.policyState instanceof Client c) {
            clients.remove(c.request);
        }
    }

    // ---- Events of the emulated network ----

    @Override
    public void endpointsChanged(EndpointListDelivery delivery) {
        List<EndpointListEntry> entries = trustsClocks
                ? delivery.listings().stream()
                        .map(ListingTranslation::withStampedStart)
                        .toList()
                : startTimes.translate(
                        delivery.kind(),
                        delivery.listings().stream()
                                .map(ListingTranslation::withWallTimeStart)
                                .toList());
        core.endpointsChanged(delivery.kind(), entries);
    }

    @Override
    public void requestArrived(ClientRequest request) {
        Client client = new Client(request, false);
        request.policyState = client;
        clients.put(client.request, client);
        core.requestArrived(client.request);
    }

    @Override
    public void connectionAdopted(ClientRequest request, EmulatedAttempt attempt) {
        Client client = new Client(request, true);
        request.policyState = client;
        request.answerPending = false;
        request.established = true;
        clients.put(client.request, client);
        adopted = attempt;
        core.adoptConnection(client.request, host.endpointName(attempt.endpoint));
        runReadyTasks();
        adopted = null;
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
        core.clientDisconnected(((Client) request.policyState).request);
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

package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.model.World;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EndpointListing;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.time.SystemWallClock;

/**
 * Runs a scenario with real nodes in real time: each node is a process, and the clients, endpoints and discovery of the
 * emulated world speak to it over loopback sockets. Load is open: clients arrive when the scenario says, however slow
 * responses are, and their timeouts count from the moment at which they wanted to send their request, so that a stalled
 * node cannot hide its stall (coordinated omission).
 */
public final class LoadTestRun implements AutoCloseable {
    private static final long SELECT_TIMEOUT_MS = 1;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double MICROS_PER_MILLI = 1000;

    private final Selector selector = Selector.open();
    private final RunClock clock = new RunClock();
    private final NodeProcesses processes;
    private final DiscoveryStubs discoveries = new DiscoveryStubs(clock);
    private final LinkEvents linkEvents = new LinkEvents(clock);

    /** Null where nodes reach endpoints and discovery directly. */
    private final NetworkPaths paths;

    private final OpenRequests requests;
    private final Map<Object, ClientRequest> requestByConnection = new HashMap<>();
    private final List<SocketNode> nodes = new ArrayList<>();
    private final List<SocketEndpoint> endpoints = new ArrayList<>();
    private final Map<String, Integer> endpointIndexById = new HashMap<>();

    /** By endpoint, its start in milliseconds of the run as the list last said. */
    private final Map<Integer, Double> listedStartMs = new HashMap<>();

    /** By node, then endpoint: where the node reaches it. */
    private final List<List<InetSocketAddress>> endpointAddresses = new ArrayList<>();

    /** By second: the priority weight of the connections that were served. */
    private final List<Double> servedWeight = new ArrayList<>();

    private final World world;
    private double maxTurnMs;
    private boolean isScenarioOver;
    private final UnknownFirstLines unknownFirstLines = new UnknownFirstLines();
    private long acceptedConnections;

    /** Sets up a run whose nodes reach endpoints and discovery directly; otherwise as the other constructor. */
    public LoadTestRun(Scenario scenario, long seed, NodeCommand command) throws IOException {
        this(scenario, seed, command, null);
    }

    /**
     * Sets up everything but starts no node.
     *
     * @param command what starts the process of a node
     * @param paths the links of nodes to endpoints and discovery; null for direct connections
     * @throws IllegalArgumentException if the scenario is too large for the sockets of one machine
     * @throws IOException if sockets or files cannot be created
     */
    public LoadTestRun(Scenario scenario, long seed, NodeCommand command, NetworkPaths paths) throws IOException {
        this.paths = paths;
        LoadTestLimits.check(scenario);
        requests = new OpenRequests(paths != null);
        processes = new NodeProcesses(command);
        world = new World(scenario, seed, 1, (id, number, emulatedWorld) -> {
            SocketNode node = new SocketNode(id, number, emulatedWorld, this, processes.add());
            nodes.add(node);
            return node;
        });
        LoadTestLimits.checkEndpoints(world.memberCount(), paths != null);
        Descriptors.require(scenario, world.memberCount());
        openEndpoints();
        for (int node = 0; node < processes.size(); node++) {
            openLinksToEndpoints(node);
            discoveries.addNode();
        }
        world.atStart().listings().forEach(this::publish);
        world.onNews(this::publish);
        writeConfigurations(scenario, seed);
    }

    private void openEndpoints() throws IOException {
        for (int endpoint = 0; endpoint < world.memberCount(); endpoint++) {
            endpoints.add(new SocketEndpoint(endpoint, this, selector));
            endpointIndexById.put(world.nameOf(endpoint), endpoint);
        }
    }

    private void openLinksToEndpoints(int node) throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int endpoint = 0; endpoint < endpoints.size(); endpoint++) {
            InetSocketAddress target = endpoints.get(endpoint).address();
            addresses.add(
                    paths == null
                            ? target
                            : paths.openLinkToEndpoint(node, endpoint, target, linkEvents.observerOf(endpoint)));
        }
        endpointAddresses.add(addresses);
    }

    private void writeConfigurations(Scenario scenario, long seed) throws IOException {
        NodeConfigWriter writer = new NodeConfigWriter();
        for (int node = 0; node < processes.size(); node++) {
            Files.createDirectories(processes.temporaryFolder(node));
            InetSocketAddress discovery = discoveries.address(node);
            writer.write(
                    processes.configurationFile(node),
                    scenario,
                    node,
                    seed * 1000 + node,
                    processes.get(node).address(),
                    paths == null ? discovery : paths.openLinkToDiscovery(node, discovery),
                    world.atStart(),
                    endpointAddresses.get(node));
        }
    }

    /** Publishes an entry of the endpoint list to all nodes. */
    private void publish(EndpointListing listing) {
        long startedEpochMs =
                startedEpochMs(listing, new SystemWallClock().now().epochMs(), nowMs());
        for (int node = 0; node < endpointAddresses.size(); node++) {
            InetSocketAddress address = endpointAddresses.get(node).get(listing.endpoint());
            discoveries.publish(node, listing, address, startedEpochMs);
        }
        if (world.scenario().discovery().pushed()) {
            // What a node's agent has counts as notified, whether the node polls it or not.
            for (int node = 0; node < nodes.size(); node++) {
                double notifiedMs = receivableAtMs(node, nowMs());
                nodes.get(node).rules().endpointNotified(notifiedMs, listing.endpoint(), listing.isServing());
            }
        }
        long startedUs = listing.entry().info().startedUs();
        if (startedUs > 0) {
            listedStartMs.put(listing.endpoint(), startedUs / MICROS_PER_MILLI);
        }
    }

    /** The start of an endpoint as its own clock shows it, in milliseconds since the epoch; 0 where it reports none. */
    static long startedEpochMs(EndpointListing listing, long epochMs, double nowMs) {
        long startedUs = listing.entry().info().startedUs();
        return startedUs == 0
                ? 0
                : epochMs - Math.round(nowMs - startedUs / MICROS_PER_MILLI - listing.clockOffsetMs());
    }

    /** When a node can receive what discovery, or its agent, has at a moment. */
    private double receivableAtMs(int node, double sentAtMs) {
        return paths == null ? sentAtMs : paths.receivableAtMs(node, sentAtMs);
    }

    /** Milliseconds of the run, 0 before its start. */
    double nowMs() {
        return clock.nowMs();
    }

    /**
     * Starts the nodes, runs the scenario and returns what came of it.
     *
     * @throws IOException if the nodes do not accept clients in time, or sockets fail
     */
    public RunResult run() throws IOException, InterruptedException {
        processes.startAll();
        PeriodicSampler usage = processes.sampleUsage();
        PeriodicSampler schedules = processes.sampleSchedules();
        try {
            return runScenario();
        } finally {
            usage.close();
            schedules.close();
        }
    }

    private RunResult runScenario() throws IOException, InterruptedException {
        processes.awaitServing();
        List<Double> outageEndsMs = new ArrayList<>();
        world.onDark(durationMs -> {
            discoveries.setUnavailable(true);
            outageEndsMs.add(nowMs() + durationMs);
        });
        clock.start();
        double windowMs = world.scenario().network().minLatencyMs();
        while (nowMs() < world.scenario().durationMs()) {
            double turnMs = nowMs();
            handleNotifications(turnMs);
            sampleServedWeight(turnMs);
            world.runUntil(Math.max(0, turnMs - windowMs));
            if (!outageEndsMs.isEmpty() && turnMs >= outageEndsMs.get(0)) {
                outageEndsMs.remove(0);
                discoveries.setUnavailable(false);
            }
            handleSockets();
            maxTurnMs = Math.max(maxTurnMs, nowMs() - turnMs);
        }
        double elapsedSeconds = clock.elapsedSeconds();
        awaitResponses();
        return world.finish(elapsedSeconds);
    }

    private void sampleServedWeight(double nowMs) {
        while (servedWeight.size() <= nowMs / MILLIS_PER_SECOND) {
            servedWeight.add(
                    nodes.stream().mapToDouble(node -> node.servedWeight(nowMs)).sum());
        }
    }

    /** Handles what nodes were notified of, and what links showed, up to a moment of the run. */
    private void handleNotifications(double nowMs) {
        clock.advanceTo(nowMs);
        if (paths != null) {
            paths.advanceTo(nowMs);
        }
        for (var next = discoveries.pollNotification(); next != null; next = discoveries.pollNotification()) {
            handleNotification(next);
        }
        handleLinkEvents();
    }

    private void handleNotification(DiscoveryStubs.ListNotification notification) {
        double notifiedMs = receivableAtMs(notification.node(), notification.sentAtMs());
        SocketNode node = nodes.get(notification.node());
        if (!notification.isForProcessStartedAt(node.processStartedMs())) {
            return;
        }
        notification
                .statusById()
                .forEach((id, status) ->
                        node.rules().endpointNotified(notifiedMs, endpointIndexById.get(id), status.equals("SERVING")));
    }

    private void handleLinkEvents() {
        for (var next = linkEvents.poll(); next != null; next = linkEvents.poll()) {
            if (next.isEnd()) {
                handleConnectionEnd(next);
            } else {
                handleFirstLine(next);
            }
        }
    }

    private void handleConnectionEnd(LinkEvents.LinkEvent event) {
        ClientRequest request = requestByConnection.remove(event.connection());
        if (request != null) {
            nodeOf(request).rules().attemptEnded(event.atMs(), request.observed, "over at the node's end");
        }
    }

    private void handleFirstLine(LinkEvents.LinkEvent event) {
        String[] words = event.firstLine().split(" ");
        ClientRequest request = words.length > 1 ? requests.find(words[1]) : null;
        if (request != null) {
            requestByConnection.put(event.connection(), request);
            nodeOf(request).rules().attemptStarted(event.atMs(), request.observed, event.endpoint());
        } else if (words.length < 2 || !requests.isClosed(words[1])) {
            unknownFirstLines.add(event.firstLine());
        }
    }

    private void handleSockets() throws IOException {
        selector.select(SELECT_TIMEOUT_MS);
        // What can be read now may follow from what links have shown meanwhile, never the other way round.
        handleLinkEvents();
        Set<SelectionKey> ready = selector.selectedKeys();
        for (Iterator<SelectionKey> keys = ready.iterator(); keys.hasNext(); ) {
            SelectionKey key = keys.next();
            keys.remove();
            if (key.attachment() instanceof SocketEndpoint endpoint) {
                endpoint.accept();
            } else if (key.isValid()) {
                ((LineConnection) key.attachment()).ready();
            }
        }
    }

    /**
     * Waits for the responses that are pending at the end of the scenario, and checks the invariants until then. The
     * emulated endpoints have stopped and say nothing more, so that a node has to answer by its own clock; nothing is
     * counted of that time.
     */
    private void awaitResponses() throws IOException {
        isScenarioOver = true;
        while (requests.isAnyPending()) {
            double turnMs = nowMs();
            handleNotifications(turnMs);
            handleSockets();
            requests.copy().forEach(request -> nodeOf(request).judgeOverdue(request));
            maxTurnMs = Math.max(maxTurnMs, nowMs() - turnMs);
        }
    }

    /**
     * By second of the run, the share of client demand whose connections were established and returned their lines, from
     * 0 to 1; NaN where there was no demand.
     */
    public List<Double> servedBySecond() {
        List<Double> shares = new ArrayList<>();
        for (int second = 0; second < servedWeight.size(); second++) {
            double wanted = world.wanted(second);
            shares.add(wanted > 0 ? Math.min(1, servedWeight.get(second) / wanted) : Double.NaN);
        }
        return shares;
    }

    /** The nodes whose process ended although nothing had ended it. */
    public List<Integer> crashed() {
        return processes.crashed();
    }

    /** What the nodes logged between two moments of the run, in milliseconds, in the order of time. */
    public List<String> said(double fromMs, double toMs) {
        return processes.logged(fromMs, toMs, clock);
    }

    /**
     * Returns how long the I/O thread of a node ran, and waited for a processor, between two moments of the run in
     * milliseconds; empty where the system does not tell.
     */
    public Optional<ThreadSchedule.Share> scheduleOf(int node, double fromMs, double untilMs) {
        return processes.get(node).schedule().between(fromMs, untilMs, clock::toRunMs);
    }

    /** The addresses at which the nodes listen. */
    public List<String> nodes() {
        return processes.addresses();
    }

    /** Suspends the process of a node (SIGSTOP), or resumes it (SIGCONT). */
    public void setSuspended(int node, boolean suspended) {
        nodes.get(node).setSuspended(suspended);
    }

    /** The longest turn of the tool's own loop, in milliseconds: delays below this may be its own. */
    public double behindMs() {
        return maxTurnMs;
    }

    /** Connections that nodes cut off without asking their clients to move as they shut down, or held until they were killed. */
    public long lostAtShutdown() {
        return nodes.stream().mapToLong(SocketNode::lostAtShutdown).sum();
    }

    /** First lines at endpoints that belong to no request that a client has sent. */
    public UnknownFirstLines unknownFirstLines() {
        return unknownFirstLines;
    }

    /** What each node has used so far; final once the run is over. */
    public List<NodeUsage> usage() {
        List<NodeUsage> usage = new ArrayList<>();
        for (int node = 0; node < nodes.size(); node++) {
            usage.add(nodes.get(node).usage(discoveries.listBytes(node)));
        }
        return usage;
    }

    /** Connections that endpoints accepted, also those without a request: health checks, and attempts given up. */
    public long acceptedConnections() {
        return acceptedConnections;
    }

    /** Whether nodes reach endpoints over links, which show when an attempt starts and ends. */
    boolean hasLinks() {
        return paths != null;
    }

    /** Whether the scenario has ended, so that only pending responses are waited for. */
    boolean isScenarioOver() {
        return isScenarioOver;
    }

    /** Whether an emulated endpoint runs. */
    boolean isRunning(int endpoint) {
        return world.runs(endpoint);
    }

    /** Opens a client's connection. */
    LineConnection connect(InetSocketAddress to, LineConnection.Listener listener) throws IOException {
        return LineConnection.connect(selector, to, listener);
    }

    /** The requests that are open. */
    OpenRequests requests() {
        return requests;
    }

    /** The node to which a request was sent. */
    SocketNode nodeOf(ClientRequest request) {
        return nodes.get(OpenRequests.nodeIndex(request));
    }

    /** The start of an endpoint as the list last said, in milliseconds of the run; NaN where it said none. */
    double listedStartMs(int endpoint) {
        return listedStartMs.getOrDefault(endpoint, Double.NaN);
    }

    /** Counts a connection that an endpoint accepted. */
    void countAcceptedConnection() {
        acceptedConnections++;
    }

    @Override
    public void close() throws IOException {
        processes.stopAll();
        discoveries.close();
        for (SocketEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        selector.close();
        processes.deleteFolder();
    }
}

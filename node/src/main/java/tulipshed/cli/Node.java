package tulipshed.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import org.jboss.logging.Logger;
import tulipshed.config.NameIndex;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.discovery.EndpointListUpdate;
import tulipshed.discovery.EndpointWatch;
import tulipshed.limits.Limits;
import tulipshed.lineprotocol.LineProtocolFrontend;
import tulipshed.logging.NodeLog;
import tulipshed.management.ManagementServer;
import tulipshed.operators.OperatorsFile;
import tulipshed.peer.PeerSocket;
import tulipshed.proxy.ProxyCore;
import tulipshed.quic.QuicConfig;
import tulipshed.quic.QuicFront;
import tulipshed.routing.Router;
import tulipshed.time.Clock;
import tulipshed.transport.Acceptor;
import tulipshed.transport.HotRestartState;
import tulipshed.transport.XnioEventLoop;

/** Puts the parts of one node together, and takes it out of service in good order. */
final class Node {
    private static final double STEP_MS = 25;

    private final NodeConfig config;
    private final QuicConfig quicConfig;
    private Router router;
    private final Clock clock;
    private final NodeLog nodeLog;
    private final Logger log;
    private final Limits limits;
    private final XnioEventLoop loop;
    private final HotRestartState siblings;
    private NameIndex names;
    private ProxyCore core;
    private LineProtocolFrontend front;
    private QuicFront quic;
    private PeerSocket peers;
    private ManagementServer management;
    private EndpointWatch watch;
    private Acceptor server;
    private double leavingSinceMs;
    private double endMs;
    private boolean handedOver;
    private volatile boolean shuttingDown;

    /** Starts a node that has no other process beside it. */
    Node(NodeConfig config, OperatorsFile operators, Limits limits, Clock clock, NodeLog log) throws IOException {
        this(config, operators, limits, new HotRestartState(), clock, log);
    }

    /** Starts a node; the second front stays off where the operators' file does not name it. */
    Node(NodeConfig config, OperatorsFile operators, Limits limits, HotRestartState siblings, Clock clock, NodeLog log)
            throws IOException {
        this.siblings = siblings;
        this.config = config;
        names = config.nameIndex();
        quicConfig = operators.quic() == null ? null : QuicConfig.of(operators.quic());
        router = operators.router();
        this.clock = clock;
        nodeLog = log;
        this.log = log.logger("node");
        this.limits = limits;
        loop = new XnioEventLoop(limits, siblings, log);
        // All parts live on the loop; whoever starts the node waits until it takes connections.
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                start(started);
            } catch (IOException | RuntimeException e) {
                started.completeExceptionally(e);
            }
        });
        try {
            started.get();
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException r) {
                throw r;
            }
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private void start(CompletableFuture<Void> started) throws IOException {
        core = new ProxyCore(clock, limits, config.settings(), config.seed(), loop, nodeLog, Balancer::new);
        if (config.management() != null) {
            management = new ManagementServer(
                    config.management(), clock, limits, loop, core, () -> server != null && !shuttingDown);
            log.info("management server listens on " + management.address());
        }
        EndpointListUpdate known =
                config.cachedEndpoints().isEmpty() ? null : EndpointListUpdate.read(config.cachedEndpoints());
        if (known != null) {
            core.endpointsChanged(EndpointListKind.CACHED, known.entries());
        }
        if (router != null) {
            core.useRouter(router);
        }
        core.hotRestartPeer(siblings);
        watch = new EndpointWatch(config.discovery(), limits, loop, core, known == null ? 0 : known.version(), nodeLog);
        core.endpointListSource(watch);
        front = new LineProtocolFrontend(
                clock, limits, config.nameIndex(), config.loadReportsLatency(), loop, core, nodeLog);
        front.setDeclarations(router == null ? null : router.declarations());
        peersAs(config);
        if (siblings.isPeerServing()) {
            // What discovery has told the other process binds this one as well, so it asks before it serves.
            watch.catchUp();
            takeOver(started, clock.nowMs() + limits.shutdown().takeoverListTimeoutMs());
        } else {
            serve(started);
        }
        watch.setPushed(!config.settings().polledDiscovery());
    }

    /** Datagrams between nodes: nothing of them exists until a configuration allows them. */
    private void peersAs(NodeConfig configured) {
        if (peers == null && configured.peers() != null) {
            peers = new PeerSocket(clock, limits, loop, core, nodeLog);
        }
        if (peers != null) {
            peers.configure(configured.peers());
        }
    }

    private void takeOver(CompletableFuture<Void> started, double latestMs) {
        if (core.endpointListReceived() || clock.nowMs() >= latestMs) {
            serve(started);
        } else {
            loop.schedule(STEP_MS, () -> takeOver(started, latestMs));
        }
    }

    private void serve(CompletableFuture<Void> started) {
        try {
            server = loop.listen(config.listen(), limits.clientConnections(), front::accept);
            siblings.markServing();
            lookAtSiblings();
            log.info(config.name() + " serves on " + config.listen()
                    + (siblings.hasPeer() ? ", alongside another process" : ""));
            started.complete(null);
        } catch (UncheckedIOException e) {
            started.completeExceptionally(e.getCause());
        } catch (IOException | RuntimeException e) {
            started.completeExceptionally(e);
        }
    }

    /** Keeps up with the other process of this node; its UDP port is free once it has gone. */
    private void lookAtSiblings() {
        loop.schedule(limits.sockets().sweepIntervalMs(), this::lookAtSiblings);
        siblings.refresh();
        core.quotaShare(siblings.quotaShare());
        core.syncHotRestartPeer();
        if (peers != null && !siblings.hasPeer() && !shuttingDown) {
            peers.retryBind();
        }
        if (!siblings.hasPeer() && quic == null && quicConfig != null && !shuttingDown) {
            try {
                quic = new QuicFront(clock, limits, quicConfig, names, loop, core, nodeLog);
                log.info("QUIC frontend listens on " + quic.address());
            } catch (IOException e) {
                throw new UncheckedIOException("QUIC: " + e.getMessage(), e);
            }
        }
    }

    /** Where clients connect. */
    InetSocketAddress address() {
        return server.address();
    }

    /** Where staff call; null where that is off. */
    InetSocketAddress managementAddress() {
        return management == null ? null : management.address();
    }

    /** How many members the list names as serving, once all gathered before is handed over. */
    long servingEndpointCount() {
        CompletableFuture<Long> count = new CompletableFuture<>();
        loop.execute(() -> count.complete(core.servingEndpoints()));
        return count.join();
    }

    /** Whether it has begun to leave. */
    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Takes over what a running node can of its new configuration, all at once. Members and connections stay. */
    void reload(NodeConfig changed, OperatorsFile operators) {
        boolean more = !changed.name().equals(config.name())
                || !changed.listen().equals(config.listen())
                || !Objects.equals(changed.management(), config.management())
                || changed.sockets() != config.sockets();
        loop.execute(() -> {
            core.reconfigure(changed.settings());
            front.reconfigure(changed.nameIndex(), changed.loadReportsLatency());
            names = changed.nameIndex();
            if (router != null || operators.router() != null) {
                router = operators.router();
                core.useRouter(router);
                front.setDeclarations(router == null ? null : router.declarations());
            }
            if (quic != null) {
                quic.reconfigure(names);
                if (operators.quic() != null) {
                    quic.reconfigure(QuicConfig.of(operators.quic()));
                }
            }
            peersAs(changed);
            watch.setDiscoveryAddress(changed.discovery());
            watch.setPushed(!changed.settings().polledDiscovery());
            core.metrics().recordReloadApplied();
            // Said once it holds: whoever waits for the line may count on the new settings at once.
            log.info("configuration reloaded, discovery at " + changed.discovery()
                    + (more ? "; the other changes need a restart" : ""));
        });
    }

    /** A new configuration that could not be read changes nothing. */
    void rejectConfiguration(String why) {
        loop.execute(() -> {
            core.metrics().recordReloadRejected();
            log.warn("configuration rejected, the current one stays: " + why.replaceAll("\\s+", " "));
        });
    }

    /**
     * Leaves in good order and returns when done: goes on taking what still arrives, then asks the standing
     * clients to move, spread over the time there is, and answers all that is owed.
     */
    void shutDown() {
        CountDownLatch gone = new CountDownLatch(1);
        loop.execute(() -> {
            leavingSinceMs = clock.nowMs();
            siblings.refresh();
            handedOver = siblings.isPeerServing();
            siblings.markLeaving();
            core.quotaShare(siblings.quotaShare());
            if (!handedOver) {
                front.startLeaving();
            }
            shuttingDown = true;
            endMs = Math.min(limits.shutdown().maxDeadlineMs(), core.longestDeadlineMs())
                    + limits.shutdown().endMarginMs();
            log.info("shutting down" + (handedOver ? ", handing over to another process, " : ", ")
                    + core.establishedCount() + " established connections");
            step(gone);
        });
        try {
            gone.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step(CountDownLatch gone) {
        double sinceMs = clock.nowMs() - leavingSinceMs;
        // Where another process listens already, what comes after this moment is better off there.
        if ((handedOver || sinceMs >= limits.shutdown().acceptMs()) && server != null) {
            server.drainAndClose();
            server = null;
            front.listenerClosed();
            if (quic != null) {
                quic.leaving();
            }
        }
        if (sinceMs >= (handedOver ? 0 : Math.min(limits.shutdown().migrateAfterMs(), endMs / 2))) {
            double leftMs = Math.max(STEP_MS, endMs - sinceMs);
            int now = (int) Math.ceil(core.establishedCount() * Math.min(1, STEP_MS / leftMs));
            for (int i = 0; i < now && core.migrateOldest(); i++) {}
        }
        boolean done = handedOver
                && core.metrics().activeRequests() == 0
                && loop.openConnections() <= (watch.isConnected() ? 1 : 0);
        if (sinceMs >= endMs || done) {
            watch.stop();
            front.rejectWaitingClients();
            core.rejectAllPending();
            while (core.migrateOldest()) {}
            if (loop.openConnections() == 0
                    || sinceMs > endMs + limits.sockets().lingerTimeoutMs() / 3) {
                if (quic != null) {
                    quic.close();
                }
                if (peers != null) {
                    peers.close();
                }
                if (management != null) {
                    management.close();
                }
                gone.countDown();
                return;
            }
        }
        loop.schedule(STEP_MS, () -> step(gone));
    }
}

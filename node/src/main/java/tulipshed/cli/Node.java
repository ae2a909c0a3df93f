package tulipshed.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import tulipshed.config.NodeConfig;
import tulipshed.config.SettingsReader.Names;
import tulipshed.decision.Balancer;
import tulipshed.decision.BalancerApi.ListKind;
import tulipshed.discovery.MemberList;
import tulipshed.discovery.Watch;
import tulipshed.limits.Limits;
import tulipshed.lineprotocol.LineFront;
import tulipshed.transport.Acceptor;
import tulipshed.transport.Siblings;
import tulipshed.transport.XnioLoop;
import tulipshed.management.ManagementFront;
import tulipshed.operators.OperatorsFile;
import tulipshed.peer.PeerPort;
import tulipshed.quic.QuicConfig;
import tulipshed.quic.QuicFront;
import tulipshed.routing.Router;
import tulipshed.time.Clock;
import tulipshed.proxy.TransactionCore;

/** Puts the parts of one node together, and takes it out of service in good order. */
final class Node {
    private static final double STEP_MS = 25;

    private final NodeConfig config;
    private final QuicConfig quicConfig;
    private Router router;
    private final Clock clock;
    private final Consumer<String> log;
    private final Limits limits;
    private final XnioLoop loop;
    private final Siblings siblings;
    private Names names;
    private TransactionCore core;
    private LineFront front;
    private QuicFront quic;
    private PeerPort peers;
    private ManagementFront management;
    private Watch watch;
    private Acceptor server;
    private double leavingSinceMs;
    private double endMs;
    private boolean handedOver;
    private volatile boolean leaving;

    /** Starts a node that has no other process beside it. */
    Node(NodeConfig config, OperatorsFile operators, Limits limits, Clock clock, Consumer<String> log)
            throws IOException {
        this(config, operators, limits, new Siblings(), clock, log);
    }

    /** Starts a node; the second front stays off where the operators' file does not name it. */
    Node(
            NodeConfig config,
            OperatorsFile operators,
            Limits limits,
            Siblings siblings,
            Clock clock,
            Consumer<String> log)
            throws IOException {
        this.siblings = siblings;
        this.config = config;
        names = config.names();
        quicConfig = operators.quic() == null ? null : QuicConfig.of(operators.quic());
        router = operators.router();
        this.clock = clock;
        this.log = log;
        this.limits = limits;
        loop = new XnioLoop(limits, siblings);
        // All parts live on the loop; whoever starts the node waits until it takes connections.
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.afterGathering(() -> {
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
        core = new TransactionCore(clock, limits, config.settings(), config.seed(), loop, log, Balancer::new);
        if (config.management() != null) {
            management = new ManagementFront(
                    config.management(), clock, limits, loop, core, () -> server != null && !leaving);
            log.accept("tulipshed: management on " + management.address());
        }
        MemberList known = config.known().isEmpty() ? null : MemberList.read(config.known());
        if (known != null) {
            core.members(ListKind.REMEMBERED, known.members());
        }
        if (router != null) {
            core.route(router);
        }
        core.companion(siblings);
        watch = new Watch(config.discovery(), limits, loop, core, known == null ? 0 : known.version(), log);
        core.source(watch);
        front = new LineFront(clock, limits, config.names(), config.loadTellsDelay(), loop, core, log);
        front.declare(router == null ? null : router.declarations());
        peersAs(config);
        if (siblings.otherServes()) {
            // What discovery has told the other process binds this one as well, so it asks before it serves.
            watch.catchUp();
            takeOver(started, clock.nowMs() + limits.leaving().takeOverListMs());
        } else {
            serve(started);
        }
        watch.pushed(!config.settings().askedList());
    }

    /** Datagrams between nodes: nothing of them exists until a configuration allows them. */
    private void peersAs(NodeConfig configured) {
        if (peers == null && configured.peers() != null) {
            peers = new PeerPort(clock, limits, loop, core, log);
        }
        if (peers != null) {
            peers.configure(configured.peers());
        }
    }

    private void takeOver(CompletableFuture<Void> started, double latestMs) {
        if (core.listTold() || clock.nowMs() >= latestMs) {
            serve(started);
        } else {
            loop.after(STEP_MS, () -> takeOver(started, latestMs));
        }
    }

    private void serve(CompletableFuture<Void> started) {
        try {
            server = loop.listen(config.listen(), limits.clientConnections(), front::accepted);
            siblings.serves();
            lookAtSiblings();
            log.accept("tulipshed: " + config.name() + " serves on " + config.listen()
                    + (siblings.accompanied() ? ", beside another process" : ""));
            started.complete(null);
        } catch (UncheckedIOException e) {
            started.completeExceptionally(e.getCause());
        } catch (IOException | RuntimeException e) {
            started.completeExceptionally(e);
        }
    }

    /** Keeps up with the other process of this node; its UDP port is free once it has gone. */
    private void lookAtSiblings() {
        loop.after(limits.sockets().sweepMs(), this::lookAtSiblings);
        siblings.look();
        core.share(siblings.share());
        core.lookAtCompanion();
        if (peers != null && !siblings.accompanied() && !leaving) {
            peers.look();
        }
        if (!siblings.accompanied() && quic == null && quicConfig != null && !leaving) {
            try {
                quic = new QuicFront(clock, limits, quicConfig, names, loop, core, log);
                log.accept("tulipshed: QUIC on " + quic.address());
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
    InetSocketAddress management() {
        return management == null ? null : management.address();
    }

    /** How many members the list names as serving, once all gathered before is handed over. */
    long serving() {
        CompletableFuture<Long> count = new CompletableFuture<>();
        loop.afterGathering(() -> count.complete(core.serving()));
        return count.join();
    }

    /** Whether it has begun to leave. */
    boolean isLeaving() {
        return leaving;
    }

    /** Takes over what a running node can of its new configuration, all at once. Members and connections stay. */
    void reload(NodeConfig changed, OperatorsFile operators) {
        boolean more = !changed.name().equals(config.name())
                || !changed.listen().equals(config.listen())
                || !Objects.equals(changed.management(), config.management())
                || changed.sockets() != config.sockets();
        loop.afterGathering(() -> {
            core.reconfigure(changed.settings());
            front.reconfigure(changed.names(), changed.loadTellsDelay());
            names = changed.names();
            if (router != null || operators.router() != null) {
                router = operators.router();
                core.route(router);
                front.declare(router == null ? null : router.declarations());
            }
            if (quic != null) {
                quic.reconfigure(names);
                if (operators.quic() != null) {
                    quic.reconfigure(QuicConfig.of(operators.quic()));
                }
            }
            peersAs(changed);
            watch.move(changed.discovery());
            watch.pushed(!changed.settings().askedList());
            core.figures().reloaded(true);
            // Said once it holds: whoever waits for the line may count on the new settings at once.
            log.accept("tulipshed: reload, discovery at " + changed.discovery()
                    + (more ? "; the other changes wait for the next start" : ""));
        });
    }

    /** A new configuration that could not be read changes nothing. */
    void turnedDown(String why) {
        loop.afterGathering(() -> {
            core.figures().reloaded(false);
            log.accept("tulipshed: reload, the old settings stay: " + why.replaceAll("\\s+", " "));
        });
    }

    /**
     * Leaves in good order and returns when done: goes on taking what still arrives, then asks the standing
     * clients to move, spread over the time there is, and answers all that is owed.
     */
    void leave() {
        CountDownLatch gone = new CountDownLatch(1);
        loop.afterGathering(() -> {
            leavingSinceMs = clock.nowMs();
            siblings.look();
            handedOver = siblings.otherServes();
            siblings.leaves();
            core.share(siblings.share());
            if (!handedOver) {
                front.leaving();
            }
            leaving = true;
            endMs = Math.min(limits.leaving().longestMs(), core.longestDeadlineMs())
                    + limits.leaving().endMs();
            log.accept("tulipshed: leaving" + (handedOver ? " to another process, " : ", ") + core.standingCount()
                    + " connections stand");
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
        if ((handedOver || sinceMs >= limits.leaving().takeMs()) && server != null) {
            server.takeLastAndClose();
            server = null;
            front.closed();
            if (quic != null) {
                quic.leaving();
            }
        }
        if (sinceMs >= (handedOver ? 0 : Math.min(limits.leaving().moveMs(), endMs / 2))) {
            double leftMs = Math.max(STEP_MS, endMs - sinceMs);
            int now = (int) Math.ceil(core.standingCount() * Math.min(1, STEP_MS / leftMs));
            for (int i = 0; i < now && core.moveOne(); i++) {}
        }
        boolean done = handedOver && core.figures().concurrent() == 0 && loop.open() <= (watch.open() ? 1 : 0);
        if (sinceMs >= endMs || done) {
            watch.stop();
            front.turnAway();
            core.rejectAllOwed();
            while (core.moveOne()) {}
            if (loop.open() == 0 || sinceMs > endMs + limits.sockets().lingerMs() / 3) {
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
        loop.after(STEP_MS, () -> step(gone));
    }
}

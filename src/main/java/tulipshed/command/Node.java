package tulipshed.command;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.decision.BalancerApi.ListKind;
import tulipshed.discovery.MemberList;
import tulipshed.discovery.Watch;
import tulipshed.limits.Limits;
import tulipshed.line.LineFront;
import tulipshed.link.XnioLoop;
import tulipshed.management.ManagementFront;
import tulipshed.quic.QuicConfig;
import tulipshed.quic.QuicFront;
import tulipshed.time.Clock;
import tulipshed.transaction.TransactionCore;

/** Puts the parts of one node together, and takes it out of service in good order. */
final class Node {
    private static final double LEAVING_STEP_MS = 25;

    private final NodeConfig config;
    private final QuicConfig quicConfig;
    private final Clock clock;
    private final Consumer<String> log;
    private final Limits limits;
    private final XnioLoop loop;
    private TransactionCore core;
    private LineFront front;
    private QuicFront quic;
    private ManagementFront management;
    private Watch watch;
    private AcceptingChannel<StreamConnection> server;
    private double leavingSinceMs;
    private volatile boolean leaving;

    /** Starts a node; the second front stays off where its configuration is null or says so. */
    Node(NodeConfig config, QuicConfig quicConfig, Limits limits, Clock clock, Consumer<String> log)
            throws IOException {
        this.config = config;
        this.quicConfig = quicConfig;
        this.clock = clock;
        this.log = log;
        this.limits = limits;
        loop = new XnioLoop(limits);
        // All parts live on the loop; whoever starts the node waits until it takes connections.
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.afterGathering(() -> {
            try {
                start();
                started.complete(null);
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

    private void start() throws IOException {
        core = new TransactionCore(clock, limits, config.settings(), config.seed(), loop, log, Balancer::new);
        if (config.management() != null) {
            management = new ManagementFront(config.management(), clock, limits, loop, core,
                    () -> server != null && !leaving);
            log.accept("tulipshed: management on " + management.address());
        }
        MemberList known = config.known().isEmpty() ? null : MemberList.read(config.known());
        if (known != null) {
            core.members(ListKind.REMEMBERED, known.members());
        }
        watch = new Watch(config.discovery(), limits, loop, core, known == null ? 0 : known.version(), log);
        core.source(watch);
        front = new LineFront(clock, limits, config.names(), config.loadTellsDelay(), loop, core, log);
        if (quicConfig != null && quicConfig.listen() != null) {
            quic = new QuicFront(clock, limits, quicConfig, loop, core, log);
            log.accept("tulipshed: QUIC on " + quic.address());
        }
        server = loop.listen(config.listen(), front::accepted);
        log.accept("tulipshed: " + config.name() + " serves on " + config.listen());
    }

    /** Where clients connect. */
    InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /** Where staff call; null where that is off. */
    InetSocketAddress management() {
        return management == null ? null : management.address();
    }

    /** Whether it has begun to leave. */
    boolean isLeaving() {
        return leaving;
    }

    /**
     * Takes over what a running node can of its new configuration: where discovery is. Members and connections stay
     * as they are.
     */
    void reload(NodeConfig changed) {
        boolean more = !changed.name().equals(config.name()) || !changed.listen().equals(config.listen())
                || changed.sockets() != config.sockets() || !changed.settings().equals(config.settings());
        log.accept("tulipshed: reload, discovery at " + changed.discovery()
                + (more ? "; the other changes wait for the next start" : ""));
        loop.afterGathering(() -> watch.move(changed.discovery()));
    }

    /**
     * Leaves in good order and returns when done: goes on taking what still arrives, then asks the standing
     * clients to move, spread over the time there is, and answers all that is owed.
     */
    void leave() {
        CountDownLatch gone = new CountDownLatch(1);
        loop.afterGathering(() -> {
            leavingSinceMs = clock.nowMs();
            front.leaving();
            leaving = true;
            log.accept("tulipshed: leaving, " + core.standingCount() + " connections stand");
            step(gone);
        });
        try {
            gone.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** XNIO accepts on a thread of its own and queues; what stands in the queue when it closes would be lost. */
    private void takeLast() {
        try {
            for (StreamConnection c = server.accept(); c != null; c = server.accept()) {
                front.accepted(c);
            }
        } catch (IOException e) {
            log.accept("cannot accept: " + e.getMessage());
        }
    }

    private void step(CountDownLatch gone) {
        double sinceMs = clock.nowMs() - leavingSinceMs;
        if (sinceMs >= limits.drainTakeMs() && server != null) {
            takeLast();
            IoUtils.safeClose(server);
            server = null;
            if (quic != null) {
                quic.leaving();
            }
        }
        if (sinceMs >= limits.drainMoveMs()) {
            double leftMs = Math.max(LEAVING_STEP_MS, limits.drainEndMs() - sinceMs);
            int now = (int) Math.ceil(core.standingCount() * Math.min(1, LEAVING_STEP_MS / leftMs));
            for (int i = 0; i < now && core.moveOne(); i++) { }
        }
        if (sinceMs >= limits.drainEndMs()) {
            core.rejectAllOwed();
            while (core.moveOne()) { }
            if (loop.open() == 0 || sinceMs > limits.drainEndMs() + limits.lingerMs() / 3) {
                if (quic != null) {
                    quic.close();
                }
                if (management != null) {
                    management.close();
                }
                gone.countDown();
                return;
            }
        }
        loop.after(LEAVING_STEP_MS, () -> step(gone));
    }
}

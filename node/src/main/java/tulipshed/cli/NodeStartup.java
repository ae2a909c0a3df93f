package tulipshed.cli;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.jboss.logging.Logger;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.quic.QuicConfig;
import tulipshed.time.SystemWallClock;
import tulipshed.transport.HotRestartState;
import tulipshed.transport.XnioEventLoop;
import tulipshed.warmup.Warmup;

/**
 * Brings a node into service. The client listener waits for discovery's current endpoint list: the cached list may
 * contain endpoints that are draining or removed, of which an earlier or still serving process of the node was already
 * notified. If discovery does not deliver it, the list of the other process replaces the cached one. Without either, the
 * listener opens with the cached list after the start timeout, or as soon as the request to discovery fails if no other
 * process of the node serves. In every case the listener also waits for the {@link
 * Warmup} to end, so that the first clients do not wait for code that is not compiled yet.
 *
 * <p>Confined to the event-loop thread, except for {@link #start}, which blocks the calling thread.
 */
final class NodeStartup {
    private static final double READINESS_POLL_INTERVAL_MS = 25;

    private final NodeOptions options;
    private final NodeConfig config;
    private final HotRestartState hotRestart;
    private final XnioEventLoop loop;
    private final Logger log;
    private final CompletableFuture<NodeComponents> started = new CompletableFuture<>();
    private NodeComponents components;
    private boolean isWarm;

    private NodeStartup(NodeOptions options, XnioEventLoop loop) {
        this.options = options;
        this.loop = loop;
        config = options.config();
        hotRestart = options.hotRestart();
        log = options.log().logger("node");
    }

    /**
     * Starts a node and waits until it accepts clients.
     *
     * @throws IOException if the client address cannot be bound, or if the calling thread is interrupted
     * @throws MalformedInputException if another address cannot be bound
     */
    static NodeComponents start(NodeOptions options) throws IOException {
        QuicConfig quicConfig = options.operators().quic() == null
                ? null
                : QuicConfig.of(options.operators().quic(), options.limits(), new SystemWallClock());
        XnioEventLoop loop = new XnioEventLoop(options.limits(), options.hotRestart(), options.log());
        NodeStartup startup = new NodeStartup(options, loop);
        loop.execute(() -> startup.begin(quicConfig));
        startup.warmUp();
        return startup.awaitStarted();
    }

    /** Runs the warm-up while the event loop requests the endpoint list; the node serves once both are done. */
    private void warmUp() {
        try {
            boolean isInTime = new Warmup(config, options.limits(), options.clock()).run();
            if (!isInTime) {
                log.info("warm-up ended at its timeout");
            }
        } catch (RuntimeException | Error e) {
            log.warn("warm-up failed: " + e);
        } finally {
            loop.execute(() -> isWarm = true);
        }
    }

    private NodeComponents awaitStarted() throws IOException {
        try {
            return started.get();
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for the node to start", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException unchecked) {
                throw unchecked;
            }
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private void begin(QuicConfig quicConfig) {
        try {
            components = assemble(quicConfig);
            // This process must respect drain notifications that an earlier or concurrent process of the node received.
            components.watch().requestInitialList();
            components.watch().setPushed(!config.settings().polledDiscovery());
            serveOnceReady(
                    options.clock().nowMs() + options.limits().discovery().startTimeoutMs());
        } catch (RuntimeException e) {
            started.completeExceptionally(e);
        }
    }

    private NodeComponents assemble(QuicConfig quicConfig) {
        try {
            return new NodeAssembly(options, loop).assemble(quicConfig);
        } catch (IOException e) {
            // The management server is the only component that binds an address here.
            throw new MalformedInputException(
                    "management server cannot listen on " + config.management() + ": " + e.getMessage());
        }
    }

    private void serveOnceReady(double deadlineMs) {
        components.listSharing().adoptPeerList();
        if (isWarm && (isListWaitOver() || options.clock().nowMs() >= deadlineMs)) {
            serve();
        } else {
            loop.schedule(READINESS_POLL_INTERVAL_MS, () -> serveOnceReady(deadlineMs));
        }
    }

    /**
     * Returns whether to stop waiting for the endpoint list: it has arrived, or the request failed and either the list of
     * the other process is known or no other process of the node serves, in which case a node with the cached list is
     * better than none.
     */
    private boolean isListWaitOver() {
        boolean isWaitForPeerOver = components.listSharing().isPeerListKnown() || !hotRestart.isPeerServing();
        return components.core().endpointListReceived()
                || (isWaitForPeerOver && !components.watch().isCallInProgress());
    }

    private void serve() {
        try {
            components.clientListener().open(loop, config, options.limits(), components.frontend());
            hotRestart.markServing();
            new HotRestartMonitor(options, components).check();
            log.info(config.name() + " serves on " + config.listen()
                    + (hotRestart.hasPeer() ? ", alongside another process" : ""));
            components.quic().nodeStarted();
            started.complete(components);
        } catch (IOException | RuntimeException e) {
            started.completeExceptionally(e);
        }
    }
}

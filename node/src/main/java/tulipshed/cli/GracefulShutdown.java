package tulipshed.cli;

import java.util.concurrent.CountDownLatch;
import org.jboss.logging.Logger;
import tulipshed.limits.Limits;
import tulipshed.management.ManagementServer;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.HotRestartState;

/**
 * Takes a node out of service in overlapping phases:
 *
 * <ol>
 *   <li>accept: new connections are still accepted, as the load balancer in front of the node detects the shutdown with
 *       a delay;
 *   <li>migrate: established clients are told to reconnect elsewhere, spread over the available time;
 *   <li>end: clients that have not opened a request are rejected, then every pending request gets its final response,
 *       and the remaining connections are closed.
 * </ol>
 *
 * <p>{@link ShutdownSchedule} computes the times of the phases from the settings in effect when the signal arrives. If
 * the hot-restart peer serves and takes over, migration starts at once and the shutdown ends as soon as no client
 * connection is open. An instance is used for one shutdown. Confined to the event-loop thread, except for the
 * constructor and {@link #awaitCompletion}.
 */
final class GracefulShutdown {
    private final NodeComponents components;
    private final ConfigurationReload configurationReload;
    private final ProxyCore core;
    private final HotRestartState hotRestart;
    private final Clock clock;
    private final Limits limits;
    private final Logger log;
    private final double startMs;
    private final CountDownLatch completed = new CountDownLatch(1);

    /**
     * Creates a shutdown that {@link #begin} starts.
     *
     * @param startMs when the signal arrived, which is before {@link #begin} if the event loop is busy
     */
    GracefulShutdown(
            NodeOptions options, NodeComponents components, ConfigurationReload configurationReload, double startMs) {
        this.components = components;
        this.configurationReload = configurationReload;
        this.startMs = startMs;
        core = components.core();
        hotRestart = options.hotRestart();
        clock = options.clock();
        limits = options.limits();
        log = options.log().logger("node");
    }

    /** Starts the shutdown. */
    void begin() {
        hotRestart.refresh();
        boolean handsOver = hotRestart.isPeerServing();
        hotRestart.markLeaving();
        core.setQuotaShare(hotRestart.quotaShare());
        if (!handsOver) {
            components.frontend().startShutdown();
        }
        components.clientListener().startDraining();
        log.info("shutting down" + (handsOver ? ", handing over to another process, " : ", ") + core.establishedCount()
                + " established connections");
        ShutdownSchedule schedule =
                ShutdownSchedule.of(limits.shutdown(), configurationReload.longestDeadlineAtShutdownMs());
        new ShutdownSequence(
                        handsOver ? schedule.afterHandover() : schedule,
                        startMs,
                        clock,
                        components.loop(),
                        log,
                        new NodeActions())
                .run();
    }

    /** Blocks until the shutdown is complete or the calling thread is interrupted. */
    void awaitCompletion() {
        try {
            completed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The actions of a shutdown on this node's components. */
    private final class NodeActions implements ShutdownSequence.Actions {
        @Override
        public void stopAccepting() {
            components.clientListener().drainAndClose();
            components.frontend().onListenerClosed();
            components.quic().startDraining();
        }

        @Override
        public int establishedCount() {
            return core.establishedCount();
        }

        @Override
        public boolean migrateOldest() {
            return core.migrateOldest();
        }

        @Override
        public void rejectWaiting() {
            components.frontend().rejectOpeningClients();
        }

        @Override
        public void rejectPending() {
            // No request is forwarded from now on; until now retries needed the current endpoint list.
            components.watch().stop();
            core.rejectAllPending();
        }

        @Override
        public boolean isIdle() {
            return core.metrics().activeRequests() == 0
                    && components.loop().openConnections() <= connectionsOtherThanClients();
        }

        private int connectionsOtherThanClients() {
            return (components.watch().isConnected() ? 1 : 0)
                    + (components.peers().isOpen() ? 1 : 0);
        }

        @Override
        public void finish() {
            try {
                components.watch().stop();
                components.quic().close();
                components.peers().close();
                components.management().ifPresent(ManagementServer::close);
            } finally {
                completed.countDown();
            }
        }
    }
}

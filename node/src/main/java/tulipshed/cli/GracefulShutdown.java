package tulipshed.cli;

import java.util.concurrent.CountDownLatch;
import org.jboss.logging.Logger;
import tulipshed.limits.Limits;
import tulipshed.management.ManagementServer;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.HotRestartState;

/**
 * Takes a node out of service in three phases that overlap:
 *
 * <ol>
 *   <li>accept: new connections are still accepted, as the front layer needs a moment to notice;
 *   <li>migrate: established clients are asked to reconnect elsewhere, spread over the remaining time;
 *   <li>end: every pending request gets its response and the remaining connections are closed.
 * </ol>
 *
 * <p>After a hand-over to the other process of a hot restart, migration starts at once and the end comes as soon as
 * nothing is open. One instance shuts down once. Confined to the event-loop thread, but for {@link #awaitCompletion}.
 */
final class GracefulShutdown {
    private static final double STEP_INTERVAL_MS = 25;

    /** Migration starts by this part of the time until the end at the latest: a half. */
    private static final int MIGRATION_START_DIVISOR = 2;

    /** Connections that are closing are waited for, after the end, for this part of the linger timeout: a third. */
    private static final int LINGER_DIVISOR = 3;

    private final NodeComponents components;
    private final ProxyCore core;
    private final HotRestartState hotRestart;
    private final Clock clock;
    private final Limits limits;
    private final Logger log;
    private final CountDownLatch completed = new CountDownLatch(1);
    private double startMs;

    /** When the end phase begins at the latest, in ms since the start. */
    private double endAfterMs;

    private boolean handedOver;

    GracefulShutdown(NodeOptions options, NodeComponents components) {
        this.components = components;
        core = components.core();
        hotRestart = options.hotRestart();
        clock = options.clock();
        limits = options.limits();
        log = options.log().logger("node");
    }

    /** Starts the shutdown. */
    void begin() {
        startMs = clock.nowMs();
        hotRestart.refresh();
        handedOver = hotRestart.isPeerServing();
        hotRestart.markLeaving();
        core.quotaShare(hotRestart.quotaShare());
        if (!handedOver) {
            components.frontend().startLeaving();
        }
        components.clientListener().startDraining();
        endAfterMs = Math.min(limits.shutdown().maxDeadlineMs(), core.longestDeadlineMs())
                + limits.shutdown().endMarginMs();
        log.info("shutting down" + (handedOver ? ", handing over to another process, " : ", ") + core.establishedCount()
                + " established connections");
        step();
    }

    /** Blocks until the shutdown is complete or the calling thread is interrupted. */
    void awaitCompletion() {
        try {
            completed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step() {
        double elapsedMs = clock.nowMs() - startMs;
        if (isAcceptPhaseOver(elapsedMs) && components.clientListener().isOpen()) {
            stopAccepting();
        }
        if (elapsedMs >= migrateAfterMs()) {
            migrateShare(elapsedMs);
        }
        if (elapsedMs >= endAfterMs || isHandoverComplete()) {
            endRequests();
            if (areConnectionsClosed(elapsedMs)) {
                closeSockets();
                completed.countDown();
                return;
            }
        }
        components.loop().schedule(STEP_INTERVAL_MS, this::step);
    }

    /** After a hand-over the other process listens already, and what arrives from now on is better served there. */
    private boolean isAcceptPhaseOver(double elapsedMs) {
        return handedOver || elapsedMs >= limits.shutdown().acceptMs();
    }

    private void stopAccepting() {
        components.clientListener().drainAndClose();
        components.frontend().listenerClosed();
        components.quic().startDraining();
    }

    private double migrateAfterMs() {
        return handedOver ? 0 : Math.min(limits.shutdown().migrateAfterMs(), endAfterMs / MIGRATION_START_DIVISOR);
    }

    /** Migrates as many connections as one step has to so that all are migrated by the end. */
    private void migrateShare(double elapsedMs) {
        double remainingMs = Math.max(STEP_INTERVAL_MS, endAfterMs - elapsedMs);
        int count = (int) Math.ceil(core.establishedCount() * Math.min(1, STEP_INTERVAL_MS / remainingMs));
        for (int i = 0; i < count && core.migrateOldest(); i++) {}
    }

    /** Returns whether nothing is left to do for the process that handed over: only discovery's connection is open. */
    private boolean isHandoverComplete() {
        return handedOver
                && core.metrics().activeRequests() == 0
                && components.loop().openConnections() <= (components.watch().isConnected() ? 1 : 0);
    }

    private void endRequests() {
        components.watch().stop();
        components.frontend().rejectWaitingClients();
        core.rejectAllPending();
        while (core.migrateOldest()) {}
    }

    private boolean areConnectionsClosed(double elapsedMs) {
        return components.loop().openConnections() == 0
                || elapsedMs > endAfterMs + limits.sockets().lingerTimeoutMs() / LINGER_DIVISOR;
    }

    private void closeSockets() {
        components.quic().close();
        components.peers().close();
        components.management().ifPresent(ManagementServer::close);
    }
}

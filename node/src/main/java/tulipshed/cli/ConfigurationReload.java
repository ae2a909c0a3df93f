package tulipshed.cli;

import java.util.Objects;
import org.jboss.logging.Logger;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.operators.OperatorsFile;
import tulipshed.proxy.ProxyCore;
import tulipshed.routing.Router;
import tulipshed.time.Clock;

/**
 * Applies a new configuration to a running node. Endpoints and connections are kept. Confined to the event-loop thread,
 * except for {@link #needsRestart}.
 */
final class ConfigurationReload {
    private final NodeComponents components;
    private final NodeConfig configAtStart;
    private final Clock clock;
    private final Limits limits;
    private final Logger log;

    private double lastReloadMs = Double.NEGATIVE_INFINITY;

    /**
     * The longest deadline of the settings that the last reload replaced; the minimum of those values if several
     * reloads followed each other within {@link tulipshed.limits.ShutdownLimits#signalReorderMs}.
     */
    private double replacedDeadlineMs;

    /** The current routing rules; null if the operators' file has none. */
    private Router router;

    ConfigurationReload(NodeOptions options, NodeComponents components) {
        this.components = components;
        configAtStart = options.config();
        router = options.operators().router();
        clock = options.clock();
        limits = options.limits();
        log = options.log().logger("node");
    }

    /**
     * Returns whether a configuration changes values that only take effect at a restart. Safe for use by any thread.
     */
    boolean needsRestart(NodeConfig changed) {
        return !changed.name().equals(configAtStart.name())
                || !changed.listen().equals(configAtStart.listen())
                || !Objects.equals(changed.management(), configAtStart.management())
                || changed.sockets() != configAtStart.sockets();
    }

    /** Applies the parts of a configuration that a running node can change. */
    void apply(NodeConfig changed, OperatorsFile operators, boolean needsRestart) {
        ProxyCore core = components.core();
        recordReplacedDeadline(core.longestDeadlineMs());
        core.reconfigure(changed.settings());
        components.frontend().reconfigure(changed.nameIndex(), changed.loadReportsLatency());
        applyRouter(operators.router());
        components.quic().reconfigure(changed.nameIndex(), operators);
        components.peers().configure(changed);
        components.watch().setDiscoveryAddress(changed.discovery());
        components.watch().setPushed(!changed.settings().polledDiscovery());
        core.metrics().recordReloadApplied();
        // Logged last, so that the new settings are in effect once the line appears.
        log.info("configuration reloaded, discovery at " + changed.discovery()
                + (needsRestart ? "; the other changes need a restart" : ""));
    }

    private void recordReplacedDeadline(double deadlineMs) {
        replacedDeadlineMs = isReloadRecent() ? Math.min(replacedDeadlineMs, deadlineMs) : deadlineMs;
        lastReloadMs = clock.nowMs();
    }

    private boolean isReloadRecent() {
        return clock.nowMs() - lastReloadMs < limits.shutdown().signalReorderMs();
    }

    /**
     * Returns the longest request deadline, from which the schedule of a shutdown that begins now is computed. Signals
     * that arrive together are handled in any order, so a reload that was just applied may have been requested after
     * SIGTERM; in that case the shorter of the old and the new deadline is used.
     */
    double longestDeadlineAtShutdownMs() {
        double deadlineMs = components.core().longestDeadlineMs();
        return isReloadRecent() ? Math.min(replacedDeadlineMs, deadlineMs) : deadlineMs;
    }

    private void applyRouter(Router changed) {
        if (router == null && changed == null) {
            return;
        }
        router = changed;
        components.core().setRouter(router);
        components.frontend().setDeclarations(router == null ? null : router.declarations());
    }

    /** Counts and logs a configuration that is unreadable or invalid; the current configuration is kept. */
    void reject(String reason) {
        components.core().metrics().recordReloadRejected();
        log.warn("configuration rejected, the current one stays: " + reason.replaceAll("\\s+", " "));
    }
}

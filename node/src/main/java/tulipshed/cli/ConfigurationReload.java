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
 * Applies a new configuration to a running node. Endpoints and connections stay. Confined to the event-loop thread, but
 * for {@link #needsRestart}.
 */
final class ConfigurationReload {
    private final NodeComponents components;
    private final NodeConfig configAtStart;
    private final Clock clock;
    private final Limits limits;
    private final Logger log;

    private double reloadedMs = Double.NEGATIVE_INFINITY;

    /** The shortest of the longest deadlines that reloads replaced shortly before the last one, and then. */
    private double replacedDeadlineMs;

    /** The rules in force; null while the operators' file has none. */
    private Router router;

    ConfigurationReload(NodeOptions options, NodeComponents components) {
        this.components = components;
        configAtStart = options.config();
        router = options.operators().router();
        clock = options.clock();
        limits = options.limits();
        log = options.log().logger("node");
    }

    /** Returns whether a configuration changes what only a restart can. Safe for use by any thread. */
    boolean needsRestart(NodeConfig changed) {
        return !changed.name().equals(configAtStart.name())
                || !changed.listen().equals(configAtStart.listen())
                || !Objects.equals(changed.management(), configAtStart.management())
                || changed.sockets() != configAtStart.sockets();
    }

    /** Applies all of a configuration that a running node can change. */
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
        // Logged last: whoever waits for the line may rely on the new settings at once.
        log.info("configuration reloaded, discovery at " + changed.discovery()
                + (needsRestart ? "; the other changes need a restart" : ""));
    }

    private void recordReplacedDeadline(double deadlineMs) {
        replacedDeadlineMs = isReloadRecent() ? Math.min(replacedDeadlineMs, deadlineMs) : deadlineMs;
        reloadedMs = clock.nowMs();
    }

    private boolean isReloadRecent() {
        return clock.nowMs() - reloadedMs < limits.shutdown().signalReorderMs();
    }

    /**
     * The longest deadline by which a shutdown that begins now is timed. Signals that arrive together are handled in any
     * order, so a reload that has just been applied may have come after the signal to end: the shorter deadline counts then.
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

    /** Counts and logs a configuration that could not be read; it changes nothing. */
    void reject(String reason) {
        components.core().metrics().recordReloadRejected();
        log.warn("configuration rejected, the current one stays: " + reason.replaceAll("\\s+", " "));
    }
}

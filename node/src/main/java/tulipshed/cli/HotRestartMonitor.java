package tulipshed.cli;

import tulipshed.transport.HotRestartState;

/**
 * Monitors the hot-restart peer: shares the quota with it, replicates established connections, and opens the UDP
 * sockets once the peer has exited and their ports are free. Confined to the event-loop thread.
 */
final class HotRestartMonitor {
    private final HotRestartState hotRestart;
    private final NodeComponents components;
    private final double intervalMs;

    HotRestartMonitor(NodeOptions options, NodeComponents components) {
        this.components = components;
        hotRestart = options.hotRestart();
        intervalMs = options.limits().sockets().sweepIntervalMs();
    }

    /** Checks the peer immediately, then at each sweep interval for as long as the event loop runs. */
    void check() {
        components.loop().schedule(intervalMs, this::check);
        hotRestart.refresh();
        components.core().setQuotaShare(hotRestart.quotaShare());
        components.core().syncHotRestartPeer();
        if (!hotRestart.hasPeer() && !components.clientListener().isDraining()) {
            components.peers().retryBind();
            components.quic().openIfConfigured();
        }
    }
}

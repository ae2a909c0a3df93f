package tulipshed.cli;

import tulipshed.transport.HotRestartState;

/**
 * Monitors the hot-restart peer: shares the quota and the endpoint list with it, replicates established connections, and
 * opens the UDP sockets once the peer has exited and their ports are free. Confined to the event-loop thread.
 */
final class HotRestartMonitor {
    private final HotRestartState hotRestart;
    private final NodeComponents components;
    private final double intervalMs;
    private final double listSharingIntervalMs;
    private boolean isSharingList;

    HotRestartMonitor(NodeOptions options, NodeComponents components) {
        this.components = components;
        hotRestart = options.hotRestart();
        intervalMs = options.limits().sockets().sweepIntervalMs();
        listSharingIntervalMs = options.limits().shutdown().listSharingIntervalMs();
    }

    /** Checks the peer immediately, then at each sweep interval for as long as the event loop runs. */
    void check() {
        components.loop().schedule(intervalMs, this::check);
        hotRestart.refresh();
        components.core().setQuotaShare(hotRestart.quotaShare());
        components.core().syncHotRestartPeer();
        if (!isSharingList) {
            shareList();
        }
        if (!hotRestart.hasPeer() && !components.clientListener().isDraining()) {
            components.peers().retryBind();
            components.quic().openIfConfigured();
        }
    }

    /** Exchanges the endpoint list with the peer now, and at each sharing interval for as long as the peer is alive. */
    private void shareList() {
        isSharingList = hotRestart.hasPeer();
        if (isSharingList) {
            components.loop().schedule(listSharingIntervalMs, this::shareList);
        }
        components.listSharing().synchronize();
    }
}

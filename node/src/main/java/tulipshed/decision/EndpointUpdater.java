package tulipshed.decision;

import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.WeightSemantics;

/** Applies an entry of the endpoint list to the state of its endpoint. */
record EndpointUpdater(ActiveSettings settings, SlowStart slowStart) {
    static final double MIN_SIZE = 1e-6;

    /**
     * Applies an entry; if a new process has started, the ejection, failures, latency and pending limit of the previous
     * one are discarded.
     */
    void update(long nowUs, EndpointState endpoint, MachineType machineType, EndpointInfo info) {
        boolean newProcess = endpoint.info == null || endpoint.info.startedUs() != info.startedUs();
        endpoint.info = info;
        endpoint.removed = false;
        endpoint.setCapacity(machineType, size(machineType, info));
        if (newProcess) {
            endpoint.resetObservations(PendingLimit.INITIAL);
        }
        if (info.status() != EndpointStatus.SERVING) {
            endpoint.markUnready();
            return;
        }
        endpoint.markReady();
        endpoint.setSameZone(info.zone().equals(settings.current().zone()));
        slowStart.beginIfRecentlyStarted(nowUs, endpoint);
    }

    /** A live weight falls with the load, so the largest weight listed for the machine type serves as the size. */
    private double size(MachineType machineType, EndpointInfo info) {
        boolean live = settings.current().weightSemantics() == WeightSemantics.LIVE;
        return Math.max(MIN_SIZE, live ? machineType.largestWeight : info.weight());
    }
}

package tulipshed.decision;

import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.WeightSemantics;

/** What an entry of the endpoint list says of an endpoint's readiness, capacity and process. */
record EndpointUpdater(ActiveSettings settings, SlowStart slowStart) {
    static final double MIN_SIZE = 1e-6;

    /** Takes an entry; what was observed of a previous process says nothing of a new one. */
    void update(long now, EndpointState endpoint, MachineType machineType, EndpointInfo info) {
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
        slowStart.beginIfRecentlyStarted(now, endpoint);
    }

    /** A live weight falls with the load, so there the largest weight seen of the machine type tells the size. */
    private double size(MachineType machineType, EndpointInfo info) {
        boolean live = settings.current().weightSemantics() == WeightSemantics.LIVE;
        return Math.max(MIN_SIZE, live ? machineType.largestWeight : info.weight());
    }
}

package tulipshed.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.WeightSemantics;

/** The known endpoints and machine types, by the endpoint list. Confined to the event-loop thread. */
final class EndpointTable {
    private static final double MIN_SIZE = 1e-6;

    private final ActiveSettings settings;
    private final EndpointPools pools;
    private final SlowStart slowStart;
    private final Map<String, EndpointState> endpoints = new HashMap<>();
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    private double largestWeight;

    EndpointTable(ActiveSettings settings, EndpointPools pools, SlowStart slowStart) {
        this.settings = settings;
        this.pools = pools;
        this.slowStart = slowStart;
    }

    /** The endpoint of this name, or null if it is not known. */
    EndpointState get(String name) {
        return endpoints.get(name);
    }

    /** The endpoint of this name, which the list need not name yet. */
    EndpointState getOrCreate(String name) {
        EndpointState endpoint = endpoints.get(name);
        if (endpoint == null) {
            endpoint = new EndpointState(name, PendingLimit.INITIAL, pools.allEndpoints);
            endpoints.put(name, endpoint);
            pools.assign(endpoint);
        }
        return endpoint;
    }

    Collection<EndpointState> all() {
        return endpoints.values();
    }

    Collection<MachineType> machineTypes() {
        return machineTypes.values();
    }

    /** The largest weight that the list gave to any endpoint so far. */
    double largestWeight() {
        return largestWeight;
    }

    /** Takes a complete list, or changes to it. */
    void update(long now, EndpointListKind kind, List<EndpointInfo> entries) {
        if (kind != EndpointListKind.CHANGES) {
            removeAbsent(entries);
        }
        for (EndpointInfo entry : entries) {
            if (entry.status() != EndpointStatus.REMOVED) {
                update(now, getOrCreate(entry.id()), entry);
            } else if (endpoints.containsKey(entry.id())) {
                remove(endpoints.get(entry.id()));
            }
        }
    }

    private void removeAbsent(List<EndpointInfo> entries) {
        Set<String> listed = new HashSet<>();
        entries.forEach(entry -> listed.add(entry.id()));
        List<EndpointState> absent = new ArrayList<>(endpoints.values());
        absent.removeIf(endpoint -> listed.contains(endpoint.name));
        absent.sort(Comparator.comparing(endpoint -> endpoint.name));
        absent.forEach(this::remove);
    }

    private void update(long now, EndpointState endpoint, EndpointInfo info) {
        boolean newProcess = endpoint.info == null || endpoint.info.startedUs() != info.startedUs();
        endpoint.info = info;
        endpoint.removed = false;
        updateCapacity(endpoint, info);
        if (newProcess) {
            resetObservations(endpoint);
        }
        if (info.status() != EndpointStatus.SERVING) {
            endpoint.markUnready();
            return;
        }
        if (!endpoint.isReady()) {
            endpoint.markReady();
        }
        if (info.zone().equals(settings.current().zone())) {
            endpoint.markSameZone();
        }
        slowStart.beginIfRecentlyStarted(now, endpoint);
    }

    /** A live weight falls with the load, so there the largest weight seen of a machine type tells its size. */
    private void updateCapacity(EndpointState endpoint, EndpointInfo info) {
        MachineType machineType = machineTypes.computeIfAbsent(info.machineType(), name -> new MachineType());
        machineType.largestWeight = Math.max(machineType.largestWeight, info.weight());
        boolean live = settings.current().weightSemantics() == WeightSemantics.LIVE;
        endpoint.setCapacity(machineType, Math.max(MIN_SIZE, live ? machineType.largestWeight : info.weight()));
        largestWeight = Math.max(largestWeight, info.weight());
    }

    /** What was observed of the previous process says nothing of the new one. */
    private static void resetObservations(EndpointState endpoint) {
        PendingLimit.reset(endpoint);
        endpoint.hasEstablished = endpoint.info.startedUs() == 0;
        endpoint.clearEjection();
        endpoint.clearWarming();
        endpoint.consecutiveEjections = endpoint.consecutiveFailures = 0;
        endpoint.clearLatency();
    }

    private void remove(EndpointState endpoint) {
        endpoint.markUnready();
        endpoint.removed = true;
        forgetIfUnused(endpoint);
    }

    /** Forgets an endpoint that is removed from the list and has no connection open. */
    void forgetIfUnused(EndpointState endpoint) {
        if (endpoint.removed && endpoint.open == 0) {
            endpoints.remove(endpoint.name);
        }
    }
}

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
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;

/** The known endpoints and machine types, by the endpoint list. Confined to the event-loop thread. */
final class EndpointTable {
    private final EndpointPools pools;
    private final EndpointUpdater updater;
    private final int initialPendingLimit;
    private final Map<String, EndpointState> endpoints = new HashMap<>();
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    private double largestWeight;
    private double highestSpeed;
    private int listedCount;

    /** Creates an empty table; {@code updater} applies list entries to endpoints. */
    EndpointTable(EndpointPools pools, EndpointUpdater updater, int initialPendingLimit) {
        this.pools = pools;
        this.updater = updater;
        this.initialPendingLimit = initialPendingLimit;
    }

    /** The endpoint of this name, or null if it is not known. */
    EndpointState get(String name) {
        return endpoints.get(name);
    }

    /** The endpoint of this name, which the list need not name yet. */
    EndpointState getOrCreate(String name) {
        EndpointState endpoint = endpoints.get(name);
        if (endpoint == null) {
            endpoint = new EndpointState(name, initialPendingLimit, pools.allEndpoints);
            endpoints.put(name, endpoint);
            pools.assign(endpoint);
        }
        return endpoint;
    }

    Collection<EndpointState> all() {
        return endpoints.values();
    }

    /** Estimates the speeds of the machine types, and with them the weights of this pool and that of all endpoints. */
    void updateWeights(EndpointPool pool, double priorObservations) {
        highestSpeed = MachineType.estimateSpeeds(machineTypes.values(), priorObservations);
        pools.allEndpoints.updateWeight(machineTypes.values());
        pool.updateWeight(machineTypes.values());
    }

    /** A bound for the listed weights of all endpoints, with the highest estimated speed. */
    double highestWeight() {
        return largestWeight * highestSpeed;
    }

    /** Counts a connection that was open at the start, if the list names its endpoint. */
    void recordAdoption(EndpointState endpoint) {
        if (endpoint.machineType != null) {
            endpoint.machineType.recordAdoption(machineTypes.values());
        }
    }

    /** The number of endpoints on the list, serving or draining. */
    int listedCount() {
        return listedCount;
    }

    /** Takes a complete list, or changes to it. */
    void update(long nowUs, EndpointListKind kind, List<EndpointInfo> entries) {
        if (kind != EndpointListKind.CHANGES) {
            removeAbsent(entries);
        }
        for (EndpointInfo entry : entries) {
            if (entry.status() != EndpointStatus.REMOVED) {
                update(nowUs, entry);
            } else if (endpoints.containsKey(entry.id())) {
                remove(endpoints.get(entry.id()));
            }
        }
    }

    private void update(long nowUs, EndpointInfo entry) {
        MachineType machineType = machineTypes.computeIfAbsent(entry.machineType(), name -> new MachineType());
        machineType.largestWeight = Math.max(machineType.largestWeight, entry.weight());
        largestWeight = Math.max(largestWeight, entry.weight());
        EndpointState endpoint = getOrCreate(entry.id());
        listedCount += endpoint.isListed() ? 0 : 1;
        updater.update(nowUs, endpoint, machineType, entry);
    }

    private void removeAbsent(List<EndpointInfo> entries) {
        Set<String> listed = new HashSet<>();
        entries.forEach(entry -> listed.add(entry.id()));
        List<EndpointState> absent = new ArrayList<>(endpoints.values());
        absent.removeIf(endpoint -> listed.contains(endpoint.name));
        absent.sort(Comparator.comparing(endpoint -> endpoint.name));
        absent.forEach(this::remove);
    }

    private void remove(EndpointState endpoint) {
        listedCount -= endpoint.isListed() ? 1 : 0;
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

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

/**
 * The endpoints and machine types known from the endpoint list and from adopted connections. Confined to the event-loop
 * thread.
 */
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

    /** The endpoint of this name, or null if it is unknown. */
    EndpointState get(String name) {
        return endpoints.get(name);
    }

    /** Returns the endpoint of this name, creating it if it is unknown; it need not be listed yet. */
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

    /**
     * Estimates the speeds of the machine types, and updates the weights of this pool and of the pool of all endpoints.
     */
    void updateWeights(EndpointPool pool, double priorObservations) {
        highestSpeed = MachineType.estimateSpeeds(machineTypes.values(), priorObservations);
        pools.allEndpoints.updateWeight(machineTypes.values());
        pool.updateWeight(machineTypes.values());
    }

    /** An upper bound of {@link EndpointState#listedWeight} over all endpoints. */
    double highestWeight() {
        return largestWeight * highestSpeed;
    }

    /** Counts an adopted connection for the machine type of its endpoint, if the endpoint is listed. */
    void recordAdoption(EndpointState endpoint) {
        if (endpoint.machineType != null) {
            endpoint.machineType.recordAdoption(machineTypes.values());
        }
    }

    /** The number of endpoints on the list, serving or draining. */
    int listedCount() {
        return listedCount;
    }

    /** Applies a complete list, or changes to it. */
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
        discardIfUnused(endpoint);
    }

    /** Discards an endpoint that was removed from the list and has no open connections. */
    void discardIfUnused(EndpointState endpoint) {
        if (endpoint.removed && endpoint.open == 0) {
            endpoints.remove(endpoint.name);
        }
    }
}

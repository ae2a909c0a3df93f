package tulipshed.emulator.scenario;

import java.util.List;

/**
 * All that determines a run of the emulator but its seed. Durations are in milliseconds of virtual time, loads in cores of
 * speed 1, shares between 0 and 1.
 *
 * @param name name of the scenario, which results carry
 * @param durationMs virtual time that is run
 * @param settleMs time at the beginning during which requests are not counted
 * @param policy one of {@link PolicyNames}
 * @param network latency between sites
 * @param nodes the load-balancing nodes
 * @param endpointTypes the machine types of the endpoints
 * @param endpointModel how endpoints behave, whatever their type
 * @param discovery how nodes learn of endpoints
 * @param requestClasses the request classes; a class's index is its position
 * @param tenants the tenants; a tenant's index is its position
 * @param clients how clients behave
 * @param faults the faults that are injected, in the order of the file
 */
public record Scenario(
        String name,
        double durationMs,
        double settleMs,
        String policy,
        NetworkSettings network,
        NodeSettings nodes,
        List<EndpointType> endpointTypes,
        EndpointModel endpointModel,
        DiscoverySettings discovery,
        List<RequestClassSettings> requestClasses,
        List<TenantSettings> tenants,
        ClientSettings clients,
        List<FaultSettings> faults) {}

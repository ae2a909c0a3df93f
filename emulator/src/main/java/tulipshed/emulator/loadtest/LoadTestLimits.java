package tulipshed.emulator.loadtest;

import tulipshed.emulator.scenario.FaultKinds;
import tulipshed.emulator.scenario.FaultSettings;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.Scenario;

/** How large a scenario may be that runs over the sockets and with the clock of one machine. */
final class LoadTestLimits {
    private static final int MAX_NODES = 16;
    private static final int MAX_ENDPOINTS = 3200;

    /** Over links each node has a listener of its own for each endpoint. */
    private static final int MAX_ENDPOINTS_OVER_LINKS = 500;

    private static final int MAX_CONNECTIONS = 5000;
    private static final double MAX_DURATION_MS = 600_000;
    private static final double MILLIS_PER_SECOND = 1000;

    private LoadTestLimits() {}

    /**
     * Checks all but the number of endpoints.
     *
     * @throws IllegalArgumentException if the scenario is too large, or needs what sockets do not have
     */
    static void check(Scenario scenario) {
        if (scenario.nodes().count() > MAX_NODES
                || scenario.durationMs() > MAX_DURATION_MS
                || scenario.clients().establishedAtStart() > MAX_CONNECTIONS
                || meanConnections(scenario) > MAX_CONNECTIONS) {
            throw new IllegalArgumentException("over sockets, at most " + MAX_NODES + " nodes, " + MAX_CONNECTIONS
                    + " connections and " + Math.round(MAX_DURATION_MS / MILLIS_PER_SECOND) + " s");
        }
        if (scenario.clients().establishedAtStart() > 0 && !scenario.clients().connectAtStart()) {
            throw new IllegalArgumentException("over sockets, set clients.come-at-first to 1");
        }
        checkFaults(scenario);
    }

    private static double meanConnections(Scenario scenario) {
        double maxLifetimeMs = scenario.requestClasses().stream()
                .mapToDouble(RequestClassSettings::connectionLifetimeMs)
                .max()
                .orElse(0);
        return scenario.clients().arrivalsPerSecond() * maxLifetimeMs / MILLIS_PER_SECOND;
    }

    private static void checkFaults(Scenario scenario) {
        for (FaultSettings fault : scenario.faults()) {
            if (FaultKinds.INJECTED_BY_LINKS.contains(fault.kind())) {
                throw new IllegalArgumentException(
                        fault.kind() + " needs links between the parts: emulator fault-injection");
            }
        }
        if (scenario.faults().stream().anyMatch(fault -> fault.kind().equals("node-clocks"))) {
            throw new IllegalArgumentException(
                    "node-clocks: processes have this machine's clock, the emulator has others");
        }
    }

    /**
     * Checks the number of endpoints.
     *
     * @throws IllegalArgumentException if there are too many
     */
    static void checkEndpoints(int endpointCount, boolean overLinks) {
        int maximum = overLinks ? MAX_ENDPOINTS_OVER_LINKS : MAX_ENDPOINTS;
        if (endpointCount > maximum) {
            throw new IllegalArgumentException("over sockets, at most " + maximum + " members");
        }
    }
}

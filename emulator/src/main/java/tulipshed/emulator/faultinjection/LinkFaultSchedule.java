package tulipshed.emulator.faultinjection;

import java.util.List;
import java.util.TreeSet;
import tulipshed.emulator.scenario.FaultKinds;
import tulipshed.emulator.scenario.FaultSettings;
import tulipshed.emulator.scenario.Scenario;

/**
 * The faults of links and processes of one run, and the state of each link at any moment. Without I/O and without a clock;
 * all times are milliseconds of the scenario. {@link LinkFaultGenerator} draws it.
 */
final class LinkFaultSchedule {
    private final List<Fault> faults;
    private final double firstMs;
    private final double lastMs;

    /** A schedule of these faults; the scenario's faults of all kinds, {@code settings}, say when the first begins. */
    LinkFaultSchedule(List<Fault> faults, List<FaultSettings> settings) {
        this.faults = List.copyOf(faults);
        firstMs = settings.stream().mapToDouble(FaultSettings::atMs).min().orElse(0);
        lastMs = settings.stream()
                .mapToDouble(fault -> fault.atMs() + fault.durationMs())
                .max()
                .orElse(0);
    }

    /** The same scenario with those faults only that the emulated world injects by itself. */
    static Scenario withoutLinkFaults(Scenario scenario) {
        return new Scenario(
                scenario.name(),
                scenario.durationMs(),
                scenario.settleMs(),
                scenario.policy(),
                scenario.network(),
                scenario.nodes(),
                scenario.endpointTypes(),
                scenario.endpointModel(),
                scenario.discovery(),
                scenario.requestClasses(),
                scenario.tenants(),
                scenario.clients(),
                scenario.faults().stream()
                        .filter(fault -> !FaultKinds.INJECTED_BY_LINKS.contains(fault.kind()))
                        .toList());
    }

    /** The faults, in the order of the scenario. */
    List<Fault> faults() {
        return faults;
    }

    /** When the first fault of the scenario begins, also of those that the emulated world injects; 0 without any. */
    double firstMs() {
        return firstMs;
    }

    /** When the last of them ends; 0 without any. */
    double lastMs() {
        return lastMs;
    }

    /** The state of the link between a node and an endpoint at a moment. */
    LinkState linkToEndpoint(int node, int endpoint, double nowMs) {
        LinkState state = LinkState.HEALTHY;
        for (Fault fault : faults) {
            if (fault.isActiveAt(nowMs)
                    && fault.nodes().contains(node)
                    && fault.endpoints().contains(endpoint)) {
                state = state.combinedWith(fault.linkState());
            }
        }
        return state;
    }

    /** The state of the link between a node and discovery at a moment. */
    LinkState linkToDiscovery(int node, double nowMs) {
        LinkState state = LinkState.HEALTHY;
        for (Fault fault : faults) {
            if (fault.isActiveAt(nowMs)
                    && fault.endpoints().isEmpty()
                    && fault.nodes().contains(node)) {
                state = state.combinedWith(fault.linkState());
            }
        }
        return state;
    }

    /** Whether a node's process is suspended at a moment. */
    boolean isSuspended(int node, double nowMs) {
        return faults.stream()
                .anyMatch(fault -> fault.kind().equals(LinkFaultGenerator.STOP_NODES)
                        && fault.isActiveAt(nowMs)
                        && fault.nodes().contains(node));
    }

    /** When a node can receive what discovery sends it at a moment: once no fault holds it, and its process runs. */
    double receivableAtMs(int node, double sentAtMs) {
        double atMs = sentAtMs;
        for (boolean postponed = true; postponed; ) {
            postponed = false;
            for (Fault fault : faults) {
                if (holdsNotifications(fault, node) && fault.isActiveAt(atMs)) {
                    atMs = fault.untilMs();
                    postponed = true;
                }
            }
        }
        return atMs;
    }

    private static boolean holdsNotifications(Fault fault, int node) {
        return fault.endpoints().isEmpty()
                && fault.nodes().contains(node)
                && (fault.linkState().holdsInbound() || fault.kind().equals(LinkFaultGenerator.STOP_NODES));
    }

    /** All moments at which a fault begins or ends, in order. */
    List<Double> changesMs() {
        TreeSet<Double> changesMs = new TreeSet<>();
        faults.forEach(fault -> {
            changesMs.add(fault.fromMs());
            changesMs.add(fault.untilMs());
        });
        return List.copyOf(changesMs);
    }
}

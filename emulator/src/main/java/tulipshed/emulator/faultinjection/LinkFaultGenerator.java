package tulipshed.emulator.faultinjection;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import tulipshed.emulator.scenario.FaultSettings;
import tulipshed.emulator.scenario.Scenario;

/**
 * Draws which nodes and endpoints the faults of links and processes of a scenario affect. {@code docs/fleet-trials.md} says
 * what the numbers of each kind mean. Endpoints and nodes stand at sites in turn.
 */
final class LinkFaultGenerator {
    /** The kind of fault that suspends processes, by its name in scenario files. */
    static final String STOP_NODES = "stop-nodes";

    /** Values of {@code count} in scenario files that hold one direction only; 0 holds both. */
    private static final int BOTH_DIRECTIONS = 0;

    private static final int ONLY_OUTBOUND = 1;
    private static final int ONLY_INBOUND = 2;

    /** The value of {@code count} in scenario files that resets connections within a line. */
    private static final int MID_LINE = 1;

    private final Scenario scenario;
    private final int nodeCount;
    private final int endpointCount;
    private final UniformRandomProvider random;
    private final List<Fault> faults = new ArrayList<>();

    private LinkFaultGenerator(Scenario scenario, int endpointCount, UniformRandomProvider random) {
        this.scenario = scenario;
        this.endpointCount = endpointCount;
        this.random = random;
        nodeCount = scenario.nodes().count();
    }

    /** Draws the schedule of a scenario; endpoints have the indices from 0 to {@code endpointCount - 1}. */
    static LinkFaultSchedule draw(Scenario scenario, int endpointCount, UniformRandomProvider random) {
        LinkFaultGenerator generator = new LinkFaultGenerator(scenario, endpointCount, random);
        scenario.faults().forEach(generator::add);
        return new LinkFaultSchedule(generator.faults, scenario.faults());
    }

    private void add(FaultSettings fault) {
        switch (fault.kind()) {
            case "partition" -> addPartition(fault);
            case "silence-members" -> faults.add(ofLinks(fault, allNodes(), chosen(fault, endpointCount), held(0)));
            case "cut-links" -> addToLinksByChance(fault, held(fault.count()));
            case "deaf-links" -> addToLinksByChance(fault, new LinkState(false, false, true, 0, 0));
            case "slow-links" ->
                addToLinksByChance(fault, new LinkState(false, false, false, fault.factor(), fault.factor()));
            case "reset-links" -> faults.add(resetOfLinks(fault));
            case "mute-discovery" -> faults.add(ofDiscovery(fault, chosen(fault, nodeCount)));
            case STOP_NODES -> faults.add(suspension(fault));
            default -> {
                // The emulated world injects it.
            }
        }
    }

    /** One site, by its number, is cut off: either end at that site, the other elsewhere. Discovery is at site 0. */
    private void addPartition(FaultSettings fault) {
        int sites = scenario.network().sites();
        int site = fault.count() % sites;
        Set<Integer> nodesThere = indices(nodeCount, node -> node % sites == site);
        Set<Integer> nodesElsewhere = indices(nodeCount, node -> node % sites != site);
        Set<Integer> endpointsThere = indices(endpointCount, endpoint -> endpoint % sites == site);
        Set<Integer> endpointsElsewhere = indices(endpointCount, endpoint -> endpoint % sites != site);
        faults.add(ofLinks(fault, nodesThere, endpointsElsewhere, held(BOTH_DIRECTIONS)));
        faults.add(ofLinks(fault, nodesElsewhere, endpointsThere, held(BOTH_DIRECTIONS)));
        if (site != 0) {
            faults.add(ofDiscovery(fault, nodesThere));
        }
    }

    /** A share of the links between nodes and endpoints, each drawn by itself, so that nodes miss different endpoints. */
    private void addToLinksByChance(FaultSettings fault, LinkState linkState) {
        for (int node = 0; node < nodeCount; node++) {
            Set<Integer> affected = new LinkedHashSet<>();
            for (int endpoint = 0; endpoint < endpointCount; endpoint++) {
                if (random.nextDouble() < fault.share()) {
                    affected.add(endpoint);
                }
            }
            if (!affected.isEmpty()) {
                faults.add(ofLinks(fault, Set.of(node), affected, linkState));
            }
        }
    }

    private Fault resetOfLinks(FaultSettings fault) {
        return new Fault(
                fault.kind(),
                fault.atMs(),
                fault.atMs(),
                allNodes(),
                indices(endpointCount, endpoint -> true),
                LinkState.HEALTHY,
                fault.share(),
                fault.count() == MID_LINE);
    }

    private Fault suspension(FaultSettings fault) {
        return new Fault(
                fault.kind(),
                fault.atMs(),
                untilMs(fault),
                chosen(fault, nodeCount),
                Set.of(),
                LinkState.HEALTHY,
                0,
                false);
    }

    private static Fault ofLinks(FaultSettings fault, Set<Integer> nodes, Set<Integer> endpoints, LinkState linkState) {
        return new Fault(fault.kind(), fault.atMs(), untilMs(fault), nodes, endpoints, linkState, 0, false);
    }

    private static Fault ofDiscovery(FaultSettings fault, Set<Integer> nodes) {
        return ofLinks(fault, nodes, Set.of(), held(BOTH_DIRECTIONS));
    }

    private static double untilMs(FaultSettings fault) {
        return fault.atMs() + fault.durationMs();
    }

    private static LinkState held(int direction) {
        return new LinkState(direction != ONLY_INBOUND, direction != ONLY_OUTBOUND, direction == BOTH_DIRECTIONS, 0, 0);
    }

    private Set<Integer> allNodes() {
        return indices(nodeCount, node -> true);
    }

    private static Set<Integer> indices(int count, IntPredicate included) {
        return IntStream.range(0, count).filter(included).boxed().collect(Collectors.toCollection(TreeSet::new));
    }

    /** As many as the fault names, or its share, at least one, drawn at random. */
    private Set<Integer> chosen(FaultSettings fault, int total) {
        List<Integer> shuffled = new ArrayList<>(indices(total, index -> true));
        ListSampler.shuffle(random, shuffled);
        int count = fault.count() > 0 ? fault.count() : (int) Math.round(fault.share() * total);
        return new TreeSet<>(shuffled.subList(0, Math.min(total, Math.max(1, count))));
    }
}

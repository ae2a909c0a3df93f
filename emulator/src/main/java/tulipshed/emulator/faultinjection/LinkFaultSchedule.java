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
import tulipshed.emulator.scenario.FaultKinds;
import tulipshed.emulator.scenario.FaultSettings;
import tulipshed.emulator.scenario.Scenario;

/**
 * The faults of links and processes of one trial, from its scenario and seed alone; the scenario's other troubles are the
 * world's. Without I/O and without a clock.
 */
final class LinkFaultSchedule {
    private static final int NODES_SEND = 1;
    private static final int MEMBERS_SEND = 2;

    private final List<Fault> faults;
    private final double firstMs;
    private final double lastMs;

    private LinkFaultSchedule(List<Fault> faults, List<FaultSettings> troubles) {
        this.faults = List.copyOf(faults);
        firstMs = troubles.stream().mapToDouble(FaultSettings::atMs).min().orElse(0);
        lastMs = troubles.stream()
                .mapToDouble(t -> t.atMs() + t.durationMs())
                .max()
                .orElse(0);
    }

    /** Draws who is struck (docs/fleet-trials.md has what the figures of each trouble mean); members are {@code 0} to {@code members - 1}, and stand at sites in turn as nodes do. */
    static LinkFaultSchedule draw(Scenario s, int members, UniformRandomProvider random) {
        List<Fault> out = new ArrayList<>();
        Set<Integer> nodes = all(s.nodes().count(), i -> true);
        for (FaultSettings t : s.faults()) {
            double until = t.atMs() + t.durationMs();
            switch (t.kind()) {
                case "partition" -> {
                    int site = t.count() % s.network().sites();
                    int sites = s.network().sites();
                    // Either end at that site, the other elsewhere.
                    out.add(links(
                            t,
                            until,
                            all(s.nodes().count(), n -> n % sites == site),
                            all(members, m -> m % sites != site),
                            held(0)));
                    out.add(links(
                            t,
                            until,
                            all(s.nodes().count(), n -> n % sites != site),
                            all(members, m -> m % sites == site),
                            held(0)));
                    if (site != 0) {
                        out.add(discovery(t, until, all(s.nodes().count(), n -> n % sites == site)));
                    }
                }
                case "silence-members" -> out.add(links(t, until, nodes, chosen(random, t, members), held(0)));
                case "cut-links" -> each(out, t, until, s, members, random, held(t.count()));
                case "deaf-links" -> each(out, t, until, s, members, random, new LinkState(false, false, true, 0, 0));
                case "slow-links" ->
                    each(out, t, until, s, members, random, new LinkState(false, false, false, t.factor(), t.factor()));
                case "reset-links" ->
                    out.add(new Fault(
                            t.kind(),
                            t.atMs(),
                            t.atMs(),
                            nodes,
                            all(members, m -> true),
                            LinkState.SOUND,
                            t.share(),
                            t.count() == 1));
                case "mute-discovery" ->
                    out.add(discovery(t, until, chosen(random, t, s.nodes().count())));
                case "stop-nodes" ->
                    out.add(new Fault(
                            t.kind(),
                            t.atMs(),
                            until,
                            chosen(random, t, s.nodes().count()),
                            Set.of(),
                            LinkState.SOUND,
                            0,
                            false));
                default -> {}
            }
        }
        return new LinkFaultSchedule(out, s.faults());
    }

    /** The same scenario without the troubles that are made here. */
    static Scenario rest(Scenario s) {
        return new Scenario(
                s.name(),
                s.durationMs(),
                s.settleMs(),
                s.policy(),
                s.network(),
                s.nodes(),
                s.endpointTypes(),
                s.endpointModel(),
                s.discovery(),
                s.requestClasses(),
                s.tenants(),
                s.clients(),
                s.faults().stream()
                        .filter(t -> !FaultKinds.INJECTED_BY_LINKS.contains(t.kind()))
                        .toList());
    }

    private static LinkState held(int direction) {
        return new LinkState(direction != MEMBERS_SEND, direction != NODES_SEND, direction == 0, 0, 0);
    }

    private static Set<Integer> all(int of, IntPredicate which) {
        return IntStream.range(0, of).filter(which).boxed().collect(Collectors.toCollection(TreeSet::new));
    }

    private static Set<Integer> chosen(UniformRandomProvider random, FaultSettings t, int of) {
        List<Integer> numbers = new ArrayList<>(all(of, i -> true));
        ListSampler.shuffle(random, numbers);
        int count = t.count() > 0 ? t.count() : (int) Math.round(t.share() * of);
        return new TreeSet<>(numbers.subList(0, Math.min(of, Math.max(1, count))));
    }

    private static Fault links(FaultSettings t, double until, Set<Integer> nodes, Set<Integer> members, LinkState c) {
        return new Fault(t.kind(), t.atMs(), until, nodes, members, c, 0, false);
    }

    private static Fault discovery(FaultSettings t, double until, Set<Integer> nodes) {
        return new Fault(t.kind(), t.atMs(), until, nodes, Set.of(), held(0), 0, false);
    }

    /** A share of the links between nodes and members, each drawn by itself, so that nodes see different members out. */
    private static void each(
            List<Fault> out,
            FaultSettings t,
            double until,
            Scenario s,
            int members,
            UniformRandomProvider random,
            LinkState c) {
        for (int n = 0; n < s.nodes().count(); n++) {
            Set<Integer> struck = new LinkedHashSet<>();
            for (int m = 0; m < members; m++) {
                if (random.nextDouble() < t.share()) {
                    struck.add(m);
                }
            }
            if (!struck.isEmpty()) {
                out.add(links(t, until, Set.of(n), struck, c));
            }
        }
    }

    List<Fault> faults() {
        return faults;
    }

    /** When the first trouble of the day begins, also of those that the world makes, in milliseconds; 0 without any. */
    double firstMs() {
        return firstMs;
    }

    /** When the last of them ends. */
    double lastMs() {
        return lastMs;
    }

    /** How the link between a node and a member is at a moment. */
    LinkState member(int node, int member, double nowMs) {
        LinkState c = LinkState.SOUND;
        for (Fault f : faults) {
            if (f.at(nowMs) && f.nodes().contains(node) && f.members().contains(member)) {
                c = c.and(f.condition());
            }
        }
        return c;
    }

    /** How the link between a node and discovery is at a moment. */
    LinkState discovery(int node, double nowMs) {
        LinkState c = LinkState.SOUND;
        for (Fault f : faults) {
            if (f.at(nowMs) && f.members().isEmpty() && f.nodes().contains(node)) {
                c = c.and(f.condition());
            }
        }
        return c;
    }

    /** Whether a node's process is to stand still at a moment. */
    boolean still(int node, double nowMs) {
        return faults.stream()
                .anyMatch(f -> f.kind().equals("stop-nodes")
                        && f.at(nowMs)
                        && f.nodes().contains(node));
    }

    /** From when on a node can hear what discovery tells it at that moment. */
    double hearsMs(int node, double atMs) {
        double at = atMs;
        for (boolean moved = true; moved; ) {
            moved = false;
            for (Fault f : faults) {
                boolean out = f.members().isEmpty()
                        && f.nodes().contains(node)
                        && (f.condition().holdsBack() || f.kind().equals("stop-nodes"));
                if (out && f.at(at)) {
                    at = f.untilMs();
                    moved = true;
                }
            }
        }
        return at;
    }

    /** All moments at which something changes, in order. */
    List<Double> changes() {
        TreeSet<Double> out = new TreeSet<>();
        faults.forEach(f -> {
            out.add(f.fromMs());
            out.add(f.untilMs());
        });
        return List.copyOf(out);
    }
}

package tulipshed.emulator.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tulipshed.emulator.loadtest.LinkObserver;
import tulipshed.emulator.loadtest.LoadTestRun;
import tulipshed.emulator.loadtest.NetworkPaths;
import tulipshed.emulator.loadtest.NodeCommand;
import tulipshed.emulator.model.RandomStreams;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.scenario.EndpointType;
import tulipshed.emulator.scenario.Scenario;

/**
 * One fault-injection run: real nodes in the emulated world, each link between them and it through a {@link
 * FaultInjectionProxy}, under a schedule of faults.
 */
public final class FaultInjectionRun implements AutoCloseable, NetworkPaths {
    /** Streams of random numbers apart from those of the emulated world. */
    private static final int SCHEDULE_STREAM = 31;

    private static final int JITTER_STREAM = 32;

    private final LinkFaultSchedule schedule;
    private final List<Double> changesMs;
    private final FaultInjectionProxy proxy;
    private final LoadTestRun run;

    /** By node, then endpoint. */
    private final List<List<ProxiedLink>> endpointLinks = new ArrayList<>();

    /** By node. */
    private final List<ProxiedLink> discoveryLinks = new ArrayList<>();

    /** The moment up to which the schedule has been applied, in milliseconds of the scenario. */
    private double appliedMs = -1;

    /**
     * Sets up the run of a scenario, with the faults that its seed draws.
     *
     * @param command what starts the process of a node
     * @throws IOException if sockets or processes cannot be set up
     * @throws IllegalArgumentException if the scenario is too large for the sockets of one machine
     */
    public FaultInjectionRun(Scenario scenario, long seed, NodeCommand command) throws IOException {
        this(scenario, seed, command, drawSchedule(scenario, seed));
    }

    FaultInjectionRun(Scenario scenario, long seed, NodeCommand command, LinkFaultSchedule schedule)
            throws IOException {
        this.schedule = schedule;
        changesMs = schedule.changesMs();
        for (int node = 0; node < scenario.nodes().count(); node++) {
            endpointLinks.add(new ArrayList<>());
        }
        proxy = new FaultInjectionProxy(RandomStreams.random(seed, JITTER_STREAM, 0));
        try {
            run = new LoadTestRun(LinkFaultSchedule.withoutLinkFaults(scenario), seed, command, this);
        } catch (IOException | RuntimeException e) {
            proxy.close();
            throw e;
        }
    }

    /** The schedule that a seed draws. */
    static LinkFaultSchedule drawSchedule(Scenario scenario, long seed) {
        int endpointCount =
                scenario.endpointTypes().stream().mapToInt(EndpointType::count).sum();
        return LinkFaultGenerator.draw(scenario, endpointCount, RandomStreams.random(seed, SCHEDULE_STREAM, 0));
    }

    /**
     * Runs the scenario in real time and judges what came of it.
     *
     * @throws IOException if the nodes do not start, or sockets fail
     */
    public FaultInjectionResult play(FaultInjectionResult.Bounds bounds) throws IOException, InterruptedException {
        RunResult outcome = run.run();
        return FaultInjectionEvaluation.evaluate(schedule, outcome, run, proxy.maxLatenessMs(), bounds);
    }

    /** The addresses at which the nodes listen. */
    List<String> nodes() {
        return run.nodes();
    }

    /** What the nodes logged between two moments of the scenario, in milliseconds. */
    public List<String> said(double fromMs, double toMs) {
        return run.said(fromMs, toMs);
    }

    @Override
    public InetSocketAddress openLinkToEndpoint(int node, int endpoint, InetSocketAddress target, LinkObserver observer)
            throws IOException {
        ProxiedLink link = proxy.openLink(target, observer);
        endpointLinks.get(node).add(link);
        return link.address();
    }

    @Override
    public InetSocketAddress openLinkToDiscovery(int node, InetSocketAddress target) throws IOException {
        ProxiedLink link = proxy.openLink(target, null);
        discoveryLinks.add(link);
        return link.address();
    }

    @Override
    public double receivableAtMs(int node, double sentAtMs) {
        return schedule.receivableAtMs(node, sentAtMs);
    }

    @Override
    public void advanceTo(double nowMs) {
        double sinceMs = appliedMs;
        if (changesMs.stream().noneMatch(atMs -> atMs > sinceMs && atMs <= nowMs)) {
            return;
        }
        appliedMs = nowMs;
        for (int node = 0; node < endpointLinks.size(); node++) {
            updateLinks(node, nowMs);
            if (schedule.isSuspended(node, nowMs) != schedule.isSuspended(node, sinceMs)) {
                run.setSuspended(node, schedule.isSuspended(node, nowMs));
            }
        }
        for (Fault fault : schedule.faults()) {
            if (fault.resetShare() > 0 && fault.fromMs() > sinceMs && fault.fromMs() <= nowMs) {
                resetConnections(fault);
            }
        }
    }

    private void updateLinks(int node, double nowMs) {
        List<ProxiedLink> links = endpointLinks.get(node);
        for (int endpoint = 0; endpoint < links.size(); endpoint++) {
            setState(links.get(endpoint), schedule.linkToEndpoint(node, endpoint, nowMs));
        }
        setState(discoveryLinks.get(node), schedule.linkToDiscovery(node, nowMs));
    }

    private void setState(ProxiedLink link, LinkState state) {
        proxy.execute(() -> link.setState(state));
    }

    private void resetConnections(Fault fault) {
        endpointLinks.forEach(links ->
                links.forEach(link -> proxy.execute(() -> link.reset(fault.resetShare(), fault.midLine()))));
    }

    @Override
    public void close() throws IOException {
        run.close();
        proxy.close();
    }
}

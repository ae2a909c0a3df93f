package tulipshed.emulator.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tulipshed.emulator.loadtest.LoadTestRun;
import tulipshed.emulator.loadtest.NetworkPaths;
import tulipshed.emulator.model.RandomStreams;
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.scenario.EndpointType;
import tulipshed.emulator.scenario.Scenario;

/** One trial: real nodes in the emulator's world, each link between them and it through a relay, under a schedule of faults. */
public final class FaultInjectionRun implements AutoCloseable, NetworkPaths {
    private static final int DRAWS = 31; // apart from the world's own chances
    private static final int JITTER = 32;

    private final LinkFaultSchedule schedule;
    private final List<Double> changes;
    private final FaultInjectionProxy relays;
    private final LoadTestRun run;
    /** By node, then member. */
    private final List<List<ProxiedLink>> members = new ArrayList<>();

    private final List<ProxiedLink> discovery = new ArrayList<>();
    private double turnedMs = -1;

    /** The trial of a scenario, with the faults that its seed draws. */
    public FaultInjectionRun(Scenario s, long seed, Path jar) throws IOException {
        this(s, seed, jar, draw(s, seed));
    }

    FaultInjectionRun(Scenario s, long seed, Path jar, LinkFaultSchedule schedule) throws IOException {
        this.schedule = schedule;
        changes = schedule.changes();
        for (int n = 0; n < s.nodes().count(); n++) {
            members.add(new ArrayList<>());
        }
        relays = new FaultInjectionProxy(RandomStreams.random(seed, JITTER, 0));
        try {
            run = new LoadTestRun(LinkFaultSchedule.rest(s), seed, jar, this);
        } catch (IOException | RuntimeException e) {
            relays.close();
            throw e;
        }
    }

    static LinkFaultSchedule draw(Scenario s, long seed) {
        int members = s.endpointTypes().stream().mapToInt(EndpointType::count).sum();
        return LinkFaultSchedule.draw(s, members, RandomStreams.random(seed, DRAWS, 0));
    }

    /** Plays it. */
    public FaultInjectionResult play(FaultInjectionResult.Bounds bounds) throws IOException, InterruptedException {
        RunResult o = run.run();
        return FaultInjectionResult.of(schedule, o, run, relays.lateMs(), bounds);
    }

    /** Where its nodes listen. */
    List<String> nodes() {
        return run.nodes();
    }

    /** What the nodes said between two moments of the day. */
    public List<String> said(double fromMs, double toMs) {
        return run.said(fromMs, toMs);
    }

    // ---- The ways of the run ----

    @Override
    public InetSocketAddress toMember(int node, int member, InetSocketAddress there, Ear ear) throws IOException {
        ProxiedLink link = relays.link(there, ear);
        members.get(node).add(link);
        return link.address();
    }

    @Override
    public InetSocketAddress toDiscovery(int node, InetSocketAddress there) throws IOException {
        ProxiedLink link = relays.link(there, null);
        discovery.add(link);
        return link.address();
    }

    @Override
    public double hearsMs(int node, double atMs) {
        return schedule.hearsMs(node, atMs);
    }

    @Override
    public void turn(double nowMs) {
        double since = turnedMs;
        if (changes.stream().noneMatch(at -> at > since && at <= nowMs)) {
            return;
        }
        turnedMs = nowMs;
        for (int n = 0; n < members.size(); n++) {
            for (int m = 0; m < members.get(n).size(); m++) {
                become(members.get(n).get(m), schedule.member(n, m, nowMs));
            }
            become(discovery.get(n), schedule.discovery(n, nowMs));
            if (schedule.still(n, nowMs) != schedule.still(n, since)) {
                run.still(n, schedule.still(n, nowMs));
            }
        }
        for (Fault f : schedule.faults()) {
            if (f.share() > 0 && f.fromMs() > since && f.fromMs() <= nowMs) {
                members.forEach(links -> links.forEach(l -> relays.on(() -> l.reset(f.share(), f.midLine()))));
            }
        }
    }

    private void become(ProxiedLink link, LinkState now) {
        relays.on(() -> link.become(now));
    }

    @Override
    public void close() throws IOException {
        run.close();
        relays.close();
    }
}

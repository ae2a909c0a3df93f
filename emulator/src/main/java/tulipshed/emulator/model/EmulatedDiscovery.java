package tulipshed.emulator.model;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.engine.Actor;
import tulipshed.emulator.policy.EndpointListDelivery;
import tulipshed.emulator.policy.EndpointListing;
import tulipshed.proxy.EndpointListEntry;

/**
 * Discovery: knows the members after a time, tells those that watch, answers calls one after the other at a fixed rate, and
 * fails those that would wait too long. Dark, it fails all and forgets who watches.
 */
final class EmulatedDiscovery extends Actor<DiscoveryMessage> {
    private static final InetSocketAddress NOWHERE = InetSocketAddress.createUnresolved("emulator", 1);

    private final World world;
    private final EndpointListing[] now;
    private final double[] clockOffMs;
    private final List<EndpointListing> changes = new ArrayList<>();
    private final BitSet watching = new BitSet();
    /** How many of the changes have had their time to become known. */
    private int told;

    private double busyUntilMs;
    private double darkUntilMs;
    private double laterMs;
    private double lastDueMs;
    Consumer<EndpointListing> onNews = n -> {};
    Consumer<Double> onDark = ms -> {};
    long calls;
    long failedCalls;

    EmulatedDiscovery(int id, World world) {
        super(id);
        this.world = world;
        now = new EndpointListing[world.members.length];
        clockOffMs = new double[world.members.length];
        for (int m = 0; m < world.listedAtStart; m++) {
            now[m] = news(m, EndpointStatus.SERVING, 0);
        }
    }

    String site() {
        return "s0";
    }

    /** What every node is told at its start of the day. */
    EndpointListDelivery atStart() {
        List<EndpointListing> all = new ArrayList<>();
        for (EndpointListing n : now) {
            if (n != null) {
                all.add(n);
            }
        }
        return new EndpointListDelivery(EndpointListKind.CACHED, List.copyOf(all));
    }

    private EndpointListing news(int member, EndpointStatus state, double startedMs) {
        EmulatedEndpoint m = world.members[member];
        return new EndpointListing(
                member,
                new EndpointListEntry(
                        new EndpointInfo(
                                m.name, state, m.site, 0, m.kind.name(), m.kind.weight(), Math.round(startedMs * 1000)),
                        NOWHERE),
                clockOffMs[member]);
    }

    @Override
    protected void receive(double nowMs, DiscoveryMessage message) {
        message.deliverTo(this, nowMs);
    }

    void onEndpointFailed(double nowMs, int endpoint) {
        schedule(
                nowMs + world.scenario.discovery().failureDetectionMs(),
                new DiscoveryMessage.StatusChange(endpoint, EndpointStatus.REMOVED, 0));
    }

    void onNotificationDelay(double delayMs) {
        laterMs = delayMs;
    }

    void onOutage(double nowMs, double durationMs) {
        darkUntilMs = nowMs + durationMs;
        onDark.accept(durationMs);
        if (world.scenario.discovery().pushed()) {
            // Agents are silent and learn nothing; nobody is told of a failure.
            return;
        }
        for (int n = watching.nextSetBit(0); n >= 0; n = watching.nextSetBit(n + 1)) {
            fail(nowMs, world.nodes[n]);
        }
        watching.clear();
    }

    void onStatusChange(double nowMs, int member, EndpointStatus state, double startedMs) {
        EndpointListing n = news(member, state, startedMs);
        if (state == EndpointStatus.REMOVED && now[member] == null) {
            return;
        }
        now[member] = state == EndpointStatus.REMOVED ? null : n;
        changes.add(n);
        // In the order in which it happened, also where a late spell ends.
        lastDueMs = Math.max(lastDueMs, nowMs + world.scenario.discovery().propagationDelayMs() + laterMs);
        schedule(lastDueMs, new DiscoveryMessage.NotificationDue(changes.size() - 1));
    }

    /** A member's clock is so much ahead from now on; when it started is told anew, as that clock shows it. */
    void onClockStep(double nowMs, int member, double offMs) {
        clockOffMs[member] = offMs;
        if (now[member] != null && now[member].entry().info().startedUs() > 0) {
            EndpointInfo info = now[member].entry().info();
            onStatusChange(nowMs, member, info.status(), info.startedUs() / 1000.0);
        }
    }

    void onNotificationDue(double nowMs, int change) {
        if (world.scenario.discovery().pushed() && nowMs < darkUntilMs) {
            schedule(darkUntilMs, new DiscoveryMessage.NotificationDue(change));
            return;
        }
        told = change + 1;
        onNews.accept(changes.get(change));
        EndpointListDelivery batch = new EndpointListDelivery(EndpointListKind.CHANGES, List.of(changes.get(change)));
        for (int n = watching.nextSetBit(0); n >= 0; n = watching.nextSetBit(n + 1)) {
            toNode(nowMs, world.nodes[n], batch, change + 1);
        }
    }

    /** Over a cut it arrives once the way is back. */
    private void toNode(double nowMs, NodeActor node, EndpointListDelivery batch, int version) {
        double sentMs = world.cuts.backMs(site(), node.site, nowMs);
        send(sentMs + world.wayToDiscovery(node), node, new ProcessMessage.EndpointList(batch, version));
    }

    void onListCall(double nowMs, NodeActor from, int version) {
        calls++;
        if (world.scenario.discovery().pushed()) {
            schedule(Math.max(nowMs, darkUntilMs), new DiscoveryMessage.AnswerDue(from, version));
            return;
        }
        if (nowMs < darkUntilMs
                || busyUntilMs - nowMs
                        > world.scenario.discovery().callQueueLimit()
                                / world.scenario.discovery().callsPerSecond()
                                * 1000) {
            fail(nowMs, from);
            return;
        }
        busyUntilMs =
                Math.max(nowMs, busyUntilMs) + 1000 / world.scenario.discovery().callsPerSecond();
        schedule(busyUntilMs, new DiscoveryMessage.AnswerDue(from, version));
    }

    /** From here on the node hears of what becomes known; what it is told of before is in this answer. */
    void onAnswerDue(double nowMs, NodeActor to, int version) {
        if (nowMs < darkUntilMs) {
            fail(nowMs, to);
            return;
        }
        watching.set(to.number);
        if (version < 0) {
            toNode(nowMs, to, new EndpointListDelivery(EndpointListKind.COMPLETE, complete()), told);
            return;
        }
        List<EndpointListing> since = version < told ? List.copyOf(changes.subList(version, told)) : List.of();
        toNode(nowMs, to, new EndpointListDelivery(EndpointListKind.CHANGES, since), told);
    }

    /** The whole list as it is known by now. */
    private List<EndpointListing> complete() {
        Map<Integer, EndpointListing> all = new TreeMap<>();
        world.atStart.listings().forEach(n -> all.put(n.endpoint(), n));
        changes.subList(0, told).forEach(n -> all.put(n.endpoint(), n));
        all.values().removeIf(n -> n.entry().info().status() == EndpointStatus.REMOVED);
        return List.copyOf(all.values());
    }

    private void fail(double nowMs, NodeActor node) {
        failedCalls++;
        toNode(nowMs, node, new EndpointListDelivery(EndpointListKind.FAILED, List.of()), -1);
    }
}

package tulipshed.emulator.model;

import java.util.List;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.emulator.invariants.NodeInvariants;
import tulipshed.emulator.policy.EndpointListDelivery;
import tulipshed.emulator.policy.EndpointListing;

/** What discovery tells an emulated node: stored for later processes, held against the invariants, read by the policy. */
final class NodeEndpointList {
    private static final double CALL_TIMEOUT_MS = 2000;
    private static final int LOGGED_LISTINGS = 20;

    private final EmulatedNode node;
    private final World world;
    private final NotifiedEndpoints notified;

    NodeEndpointList(EmulatedNode node, World world) {
        this.node = node;
        this.world = world;
        notified = new NotifiedEndpoints(world.atStart);
    }

    /** The list as the node last had it. */
    EndpointListDelivery stored() {
        return notified.remembered();
    }

    /** When an endpoint's process started as far as the node knows, in milliseconds; NaN where it is thought warm. */
    double startedMs(int endpoint) {
        return notified.startedMs(endpoint);
    }

    /** Has the next call ask for the whole list. */
    void forgetVersion() {
        notified.anew();
    }

    /** Discovery reports endpoints up to a version, which is below 0 where the call failed. */
    void receive(EndpointListDelivery delivery, int version) {
        if (!node.process().isRunning()) {
            if (world.scenario.discovery().pushed()) {
                // What the agent has counts as told to the next process from its first moment.
                delivery.listings().forEach(notified::started);
            }
            return;
        }
        // The node is notified when the delivery is written, however late the process reads it.
        notify(delivery);
        if (version >= 0) {
            notified.hear(delivery, version);
        }
        node.turns().run(() -> read(delivery));
    }

    /** From now on the invariants take the process to know a delivery. */
    void notify(EndpointListDelivery delivery) {
        NodeInvariants invariants = node.process().invariants();
        for (EndpointListing listing : delivery.listings()) {
            invariants.endpointNotified(node.nowMs, listing.endpoint(), listing.isServing());
            notified.started(listing);
        }
        notified.missing(delivery).forEach(endpoint -> invariants.endpointNotified(node.nowMs, endpoint, false));
    }

    /** The process reads a delivery. */
    void read(EndpointListDelivery delivery) {
        if (world.tells(node.nowMs)) {
            List<String> states = delivery.listings().stream()
                    .limit(LOGGED_LISTINGS)
                    .map(listing -> listing.entry().info().id() + " "
                            + listing.entry().info().status())
                    .toList();
            node.log(null, "list, " + delivery.kind() + ": " + states);
        }
        node.process().policy().endpointsChanged(delivery);
        node.process().policy().runReadyTasks();
    }

    /** Asks discovery for the list and its changes; a call into a partition fails after its timeout. */
    void watch() {
        // An agent is on the node's own machine; what it is not told during a partition comes afterwards.
        boolean reachable = world.scenario.discovery().pushed()
                || world.cuts.backMs(node.site, world.discovery.site(), node.nowMs) <= node.nowMs;
        if (reachable) {
            node.sendListCall(notified.version());
        } else {
            EndpointListDelivery failed = new EndpointListDelivery(EndpointListKind.FAILED, List.of());
            node.scheduleSelf(node.nowMs + CALL_TIMEOUT_MS, new ProcessMessage.EndpointList(failed, -1));
        }
    }
}

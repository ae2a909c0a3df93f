package tulipshed.emulator.loadtest;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import tulipshed.emulator.policy.EndpointListDelivery;
import tulipshed.emulator.policy.EndpointListing;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.TenantSettings;

/** Writes a node's configuration from a scenario, in the platform's own words, on the pattern of the demo's. */
final class NodeConfigWriter {
    private final ObjectMapper json = new ObjectMapper();

    /** Writes the file of one node; its members listen at these addresses, by number. */
    void write(
            Path file,
            Scenario s,
            int node,
            long seed,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            EndpointListDelivery known,
            List<InetSocketAddress> members)
            throws IOException {
        ObjectNode all;
        try (InputStream pattern = NodeConfigWriter.class.getResourceAsStream("/tulipshed/demo/node.json")) {
            all = (ObjectNode) json.readTree(pattern);
        }
        all.put("name", "n" + node)
                .put("listen", text(listen))
                .put("discovery", text(discovery))
                .put("seed", String.format("%016x", seed));
        ((ObjectNode) all.get("limits")).put("sockets", 8192);
        ArrayNode servers = ((ObjectNode) all.get("known")).putArray("servers");
        for (EndpointListing n : known.listings()) {
            servers.addObject()
                    .put("id", n.entry().info().id())
                    .put("addr", text(members.get(n.endpoint())))
                    .put("zone", n.entry().info().zone())
                    .put("kind", n.entry().info().machineType())
                    .put("cell", 0)
                    .put("state", "SERVING")
                    .put("weight", n.entry().info().weight())
                    .put("started_ms", 0);
        }
        settings((ObjectNode) all.get("settings"), s, node);
        Files.write(file, json.writerWithDefaultPrettyPrinter().writeValueAsBytes(all));
    }

    private static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    private static void settings(ObjectNode to, Scenario s, int node) {
        ((ObjectNode) to.get("Bounds"))
                .put("MaxAttempts", s.nodes().maxAttempts())
                .put("MaxRetryAfterS", s.nodes().maxRetryAfterMs() / 1000)
                .put("Cancel", s.nodes().cancellation());
        ArrayNode classes = to.putArray("Classes");
        ArrayNode aims = ((ObjectNode) to.get("FamilyInfo")).putArray("MessageAimS");
        for (RequestClassSettings c : s.requestClasses()) {
            classes.addObject()
                    .put("AimS", c.latencyObjectiveMs() / 1000)
                    .put("Effect", "repeatable")
                    .put("Group", "all")
                    .put("HardLimitS", c.deadlineMs() / 1000)
                    .put("LateWorth", 0.0)
                    .put("Name", c.name())
                    .put("RepeatWindowS", 5.0)
                    .put("Streaming", true)
                    .put("Worth", c.priorityWeight());
            aims.add(c.messageObjectiveMs() / 1000);
        }
        ((ObjectNode) to.get("FamilyInfo")).put("Groups", s.nodes().affinityGroups());
        ArrayNode tenants = to.putArray("Tenants");
        ArrayNode quotas = ((ObjectNode) to.get("FamilyInfo")).putArray("TenantQuotaConnections");
        // As the emulator's nodes are told: what stands, or what comes in ten seconds.
        double connections = s.clients().establishedAtStart() > 0
                ? s.clients().establishedAtStart()
                : s.clients().arrivalsPerSecond() * 10;
        for (TenantSettings t : s.tenants()) {
            tenants.addObject()
                    .put("Fraction", t.quotaShare())
                    .put("Name", t.name())
                    .put(
                            "QuotaPerS",
                            t.quotaPerSecond() > 0
                                    ? t.quotaPerSecond()
                                    : s.clients().arrivalsPerSecond() * t.quotaShare());
            quotas.add(connections * t.quotaShare());
        }
        ArrayNode kinds = to.putArray("Kinds");
        s.endpointTypes().forEach(k -> kinds.add(k.name()));
        ArrayNode zones = to.putArray("Dcs");
        for (int i = 0; i < s.network().sites(); i++) {
            zones.add("s" + i);
        }
        to.put("Zone", "s" + node % s.network().sites())
                .put("Me", node)
                .put("PeersTotal", s.nodes().count())
                .put("Discovery", s.discovery().pushed() ? "push" : "ask");
        ((ObjectNode) to.get("Rules"))
                .put("AskWithinS", s.discovery().pollIntervalMs() / 1000)
                .put("DrainGraceS", s.endpointModel().drainGraceMs() / 1000)
                .put("ColdS", s.endpointModel().slowStartMs() / 1000)
                .put("ColdShare", s.endpointModel().slowStartShare())
                .put("FallS", s.endpointModel().overloadWindowMs() / 1000)
                .put("OverloadFactor", s.endpointModel().overloadFactor());
    }
}

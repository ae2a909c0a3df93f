package tulipshed.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.DeduplicationScope;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.LoadReportSource;
import tulipshed.decision.api.Prices;
import tulipshed.decision.api.ProtocolRules;
import tulipshed.decision.api.RequestClass;
import tulipshed.decision.api.SiteLimits;
import tulipshed.decision.api.Tenant;
import tulipshed.decision.api.WeightSemantics;
import tulipshed.time.Clock;

/**
 * Translates the external settings object, which the configuration file and the simulator share, into the settings of
 * the decision module. Each quoted key and value below is an external name. An absent field gets the default given
 * where it is read; an absent flag is false.
 */
public final class SettingsReader {
    private final JsonObject settings;
    private final JsonObject family;

    private SettingsReader(JsonObject settings) {
        this.settings = settings;
        // External name FamilyInfo: the properties of the site's protocol family.
        this.family = settings.object("FamilyInfo");
    }

    /**
     * Reads the settings.
     *
     * @param json the settings object, as read by {@link JsonValues}
     * @throws MalformedInputException if the settings have no request class
     */
    public static BalancerSettings read(Map<String, Object> json) {
        return new SettingsReader(JsonObject.of(json)).read();
    }

    private BalancerSettings read() {
        // External names Me and PeersTotal: this node's index and the number of nodes.
        int nodeIndex = settings.integer("Me", 0);
        int nodeCount = Math.max(1, settings.integer("PeersTotal", 1));
        String zone = settings.string("Zone", "");
        // External name FamilyInfo.Mode: "pass" if the node forwards packets and does not terminate connections.
        boolean passthrough = "pass".equals(family.string("Mode", "proxy"));
        // External name Discovery: "ask" if the endpoint list is polled, "push" if it is pushed.
        boolean polledDiscovery = "ask".equals(settings.string("Discovery", "push"));
        // External name FamilyInfo.Groups: whether connections of one group are assigned to the same endpoint.
        boolean groupAffinity = family.flag("Groups", false);
        return new BalancerSettings(
                nodeIndex,
                nodeCount,
                zone,
                passthrough,
                polledDiscovery,
                groupAffinity,
                weightSemantics(),
                loadReportSource(),
                siteLimits(settings.object("Bounds")),
                protocolRules(settings.object("Rules")),
                prices(settings.object("Charges")),
                requestClasses(),
                tenants());
    }

    /** External name Weights: the meaning of the weights in the endpoint list. */
    private WeightSemantics weightSemantics() {
        return switch (settings.string("Weights", "off")) {
            case "live" -> WeightSemantics.LIVE;
            case "nominal", "rough" -> WeightSemantics.SIZE;
            default -> WeightSemantics.NONE;
        };
    }

    /** External name LoadReport.How: the source of load reports. */
    private LoadReportSource loadReportSource() {
        return switch (settings.object("LoadReport").string("How", "off")) {
            case "inline" -> LoadReportSource.RESPONSES;
            case "on_probe" -> LoadReportSource.HEALTH_CHECKS;
            default -> LoadReportSource.NONE;
        };
    }

    /** External name Bounds: the limits of the site. Values of keys that end in S are in seconds. */
    private static SiteLimits siteLimits(JsonObject bounds) {
        int maxAttempts = bounds.integer("MaxAttempts", 1);
        long maxRetryAfterUs = bounds.micros("MaxRetryAfterS", 0);
        boolean cancellation = bounds.flag("Cancel", false);
        boolean healthChecks = bounds.flag("Probes", false);
        boolean peerMessages = bounds.flag("Peers", false);
        boolean retryAfter = bounds.flag("RetryAfter", false);
        long connectTimeoutUs = bounds.micros("ConnectTimeoutS", 0.25);
        long connectionIdleUs = bounds.micros("ConnIdleS", 0);
        int streamsPerConnection = bounds.integer("StreamsPerConn", 1);
        return new SiteLimits(
                maxAttempts,
                maxRetryAfterUs,
                cancellation,
                healthChecks,
                peerMessages,
                retryAfter,
                connectTimeoutUs,
                connectionIdleUs,
                streamsPerConnection);
    }

    /** External name Rules: the parameters of the site's rules. Values of keys that end in S are in seconds. */
    private static ProtocolRules protocolRules(JsonObject rules) {
        long drainGraceUs = rules.micros("DrainGraceS", 0);
        long pollWithinUs = rules.micros("AskWithinS", 10);
        double slowStartShare = rules.number("ColdShare", 1);
        long slowStartUs = rules.micros("ColdS", 0);
        double overloadFactor = rules.number("OverloadFactor", 1);
        long overloadUs = rules.micros("FallS", 1);
        return new ProtocolRules(drainGraceUs, pollWithinUs, slowStartShare, slowStartUs, overloadFactor, overloadUs);
    }

    /** External name Charges: the price of each billed unit. */
    private static Prices prices(JsonObject charges) {
        double crossZone = charges.number("CrossZone", 0);
        double handshake = charges.number("Handshake", 0);
        double healthCheck = charges.number("Probe", 0);
        double migration = charges.number("Moves", 0);
        double waste = charges.number("Waste", 0);
        return new Prices(crossZone, handshake, healthCheck, migration, waste);
    }

    /** External names Classes and FamilyInfo.MessageAimS, which have the same indexes. */
    private List<RequestClass> requestClasses() {
        List<Object> messageObjectivesS = family.list("MessageAimS");
        List<RequestClass> classes = new ArrayList<>();
        for (Object entry : settings.list("Classes")) {
            double messageObjectiveS = numberAt(messageObjectivesS, classes.size());
            classes.add(requestClass(JsonObject.of(entry), messageObjectiveS));
        }
        if (classes.isEmpty()) {
            throw new MalformedInputException("Classes is empty or missing, expected at least one entry");
        }
        return List.copyOf(classes);
    }

    private static RequestClass requestClass(JsonObject entry, double messageObjectiveS) {
        String name = entry.string("Name", "");
        // External names AimS, the latency objective, and HardLimitS, the deadline; the objective defaults to the
        // deadline.
        long latencyObjectiveUs = entry.micros("AimS", entry.number("HardLimitS", 1));
        long deadlineUs = entry.micros("HardLimitS", 1);
        double priorityWeight = entry.number("Worth", 1);
        Idempotency idempotency = idempotency(entry.string("Effect", "once"));
        DeduplicationScope deduplicationScope = deduplicationScope(entry.string("Group", "cell"));
        long deduplicationWindowUs = entry.micros("RepeatWindowS", 0);
        return new RequestClass(
                name,
                latencyObjectiveUs,
                deadlineUs,
                priorityWeight,
                idempotency,
                deduplicationScope,
                deduplicationWindowUs,
                Clock.secondsToMicros(messageObjectiveS));
    }

    /** External name Classes.Effect. */
    private static Idempotency idempotency(String effect) {
        return switch (effect) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.WITH_KEY;
            default -> Idempotency.NOT_IDEMPOTENT;
        };
    }

    /** External name Classes.Group. */
    private static DeduplicationScope deduplicationScope(String group) {
        return switch (group) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
    }

    /** External names Tenants and FamilyInfo.TenantQuotaConnections, which have the same indexes. */
    private List<Tenant> tenants() {
        List<Object> connectionQuotas = family.list("TenantQuotaConnections");
        List<Tenant> tenants = new ArrayList<>();
        for (Object entry : settings.list("Tenants")) {
            JsonObject tenant = JsonObject.of(entry);
            String name = tenant.string("Name", "");
            double quotaShare = tenant.number("Fraction", 0);
            double quotaPerSecond = tenant.number("QuotaPerS", 0);
            double quotaConnections = numberAt(connectionQuotas, tenants.size());
            tenants.add(new Tenant(name, quotaShare, quotaPerSecond, quotaConnections));
        }
        return List.copyOf(tenants);
    }

    /** Returns the number at an index, or 0 if there is none. */
    private static double numberAt(List<Object> list, int index) {
        return index < list.size() && list.get(index) instanceof Double number ? number : 0;
    }
}

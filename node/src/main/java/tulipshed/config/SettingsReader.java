package tulipshed.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tulipshed.decision.BalancerApi.DeduplicationScope;
import tulipshed.decision.BalancerApi.Idempotency;
import tulipshed.decision.BalancerApi.LoadReportSource;
import tulipshed.decision.BalancerApi.Prices;
import tulipshed.decision.BalancerApi.ProtocolRules;
import tulipshed.decision.BalancerApi.RequestClass;
import tulipshed.decision.BalancerApi.Settings;
import tulipshed.decision.BalancerApi.SiteLimits;
import tulipshed.decision.BalancerApi.Tenant;
import tulipshed.decision.BalancerApi.WeightSemantics;

/** Turns the wire's settings into the module's; what is absent takes the value that assumes least. */
public final class SettingsReader {
    /** Names used on the wire, by index in the module's settings. */
    public static final class NameIndex {
        public final Map<String, Integer> classes = new HashMap<>();
        public final Map<String, Integer> tenants = new HashMap<>();
    }

    private final Map<String, Object> map;

    private SettingsReader(Map<String, Object> map) {
        this.map = map;
    }

    public static Settings read(Map<String, Object> wire, NameIndex names) {
        SettingsReader top = new SettingsReader(wire);
        SettingsReader family = top.child("FamilyInfo");
        SettingsReader bounds = top.child("Bounds");
        SettingsReader rules = top.child("Rules");
        SettingsReader charges = top.child("Charges");
        return new Settings(
                (int) top.number("Me", 0),
                Math.max(1, (int) top.number("PeersTotal", 1)),
                top.text("Zone", ""),
                "pass".equals(family.text("Mode", "proxy")),
                "ask".equals(top.text("Discovery", "push")),
                family.flag("Groups", false),
                weights(top.text("Weights", "off")),
                reports(top.child("LoadReport").text("How", "off")),
                new SiteLimits(
                        (int) bounds.number("MaxAttempts", 1),
                        bounds.micros("MaxRetryAfterS", 0),
                        bounds.flag("Cancel", false),
                        bounds.flag("Probes", false),
                        bounds.flag("Peers", false),
                        bounds.flag("RetryAfter", false),
                        bounds.micros("ConnectTimeoutS", 0.25),
                        bounds.micros("ConnIdleS", 0),
                        (int) bounds.number("StreamsPerConn", 1)),
                new ProtocolRules(
                        rules.micros("DrainGraceS", 0),
                        rules.micros("AskWithinS", 10),
                        rules.number("ColdShare", 1),
                        rules.micros("ColdS", 0),
                        rules.number("OverloadFactor", 1),
                        rules.micros("FallS", 1)),
                new Prices(
                        charges.number("CrossZone", 0),
                        charges.number("Handshake", 0),
                        charges.number("Probe", 0),
                        charges.number("Moves", 0),
                        charges.number("Waste", 0)),
                classes(top, family, names),
                tenants(top, family, names));
    }

    private static List<RequestClass> classes(SettingsReader top, SettingsReader family, NameIndex names) {
        List<Object> messageAims = family.list("MessageAimS");
        List<RequestClass> classes = new ArrayList<>();
        for (Object entry : top.list("Classes")) {
            SettingsReader c = of(entry);
            int i = classes.size();
            double deadline = c.number("HardLimitS", 1);
            double messageAim = i < messageAims.size() && messageAims.get(i) instanceof Double d ? d : 0;
            names.classes.put(c.text("Name", ""), i);
            classes.add(new RequestClass(
                    c.text("Name", ""),
                    c.micros("AimS", deadline),
                    c.micros("HardLimitS", 1),
                    c.number("Worth", 1),
                    effect(c.text("Effect", "once")),
                    group(c.text("Group", "cell")),
                    c.micros("RepeatWindowS", 0),
                    Math.round(messageAim * 1e6)));
        }
        if (classes.isEmpty()) {
            throw new MalformedInputException("Settings without Classes");
        }
        return List.copyOf(classes);
    }

    private static List<Tenant> tenants(SettingsReader top, SettingsReader family, NameIndex names) {
        List<Object> connections = family.list("TenantQuotaConnections");
        List<Tenant> tenants = new ArrayList<>();
        for (Object entry : top.list("Tenants")) {
            SettingsReader t = of(entry);
            int i = tenants.size();
            names.tenants.put(t.text("Name", ""), i);
            double quota = i < connections.size() && connections.get(i) instanceof Double d ? d : 0;
            tenants.add(new Tenant(t.text("Name", ""), t.number("Fraction", 0), t.number("QuotaPerS", 0), quota));
        }
        return List.copyOf(tenants);
    }

    private static WeightSemantics weights(String word) {
        return switch (word) {
            case "live" -> WeightSemantics.LIVE;
            case "nominal", "rough" -> WeightSemantics.SIZE;
            default -> WeightSemantics.NONE;
        };
    }

    private static LoadReportSource reports(String word) {
        return switch (word) {
            case "inline" -> LoadReportSource.RESPONSES;
            case "on_probe" -> LoadReportSource.HEALTH_CHECKS;
            default -> LoadReportSource.NONE;
        };
    }

    private static Idempotency effect(String word) {
        return switch (word) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.WITH_KEY;
            default -> Idempotency.NOT_IDEMPOTENT;
        };
    }

    private static DeduplicationScope group(String word) {
        return switch (word) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
    }

    @SuppressWarnings("unchecked")
    private static SettingsReader of(Object value) {
        return new SettingsReader(value instanceof Map<?, ?> m ? (Map<String, Object>) m : Map.of());
    }

    private SettingsReader child(String name) {
        return of(map.get(name));
    }

    @SuppressWarnings("unchecked")
    private List<Object> list(String name) {
        return map.get(name) instanceof List<?> l ? (List<Object>) l : List.of();
    }

    private double number(String name, double otherwise) {
        return map.get(name) instanceof Double d ? d : otherwise;
    }

    private long micros(String name, double otherwiseS) {
        return Math.round(number(name, otherwiseS) * 1e6);
    }

    private boolean flag(String name, boolean otherwise) {
        return map.get(name) instanceof Boolean b ? b : otherwise;
    }

    private String text(String name, String otherwise) {
        return map.get(name) instanceof String s ? s : otherwise;
    }
}

package tulipshed.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a configuration holds all that one has, each of its kind. A file that was cut off or written by halves must
 * not be taken for one that leaves the rest to defaults.
 */
final class ConfigValidator {
    /** Text, list, object, flag, number, number above 0, whole number above 0. */
    private enum Kind {
        T,
        L,
        O,
        F,
        N,
        P,
        W
    }

    private static final String TOP = "name:T listen:T discovery:T seed:T limits:O known:O settings:O";
    private static final String LIMITS = "cores:P memory_mb:P sockets:W";
    private static final String KNOWN = "version:N servers:L";
    private static final String SETTINGS =
            "Bounds:O Callers:O Charges:O Classes:L CountedBy:T Dcs:L Discovery:T Family:T"
                    + " FamilyInfo:O Kinds:L Layer:N LoadReport:O Me:N OverShareWorth:N PeersTotal:W QuantumS:N Rules:O"
                    + " ScoringMix:O Tenants:L Tiers:L Weights:T Zone:T";
    private static final Map<String, String> PARTS = Map.of(
            "Bounds",
                    "Cancel:F ConnIdleS:N ConnectTimeoutS:P CpuUsPerRequest:N CpuUsPerS:N MaxAttempts:W MaxOpen:N"
                            + " MaxRetryAfterS:N MayDuplicate:F Peers:F Probes:F RetryAfter:F StreamsPerConn:N",
            "Callers", "MarksRetry:F",
            "Charges",
                    "Connection:N CrossZone:N Discovery:N Handshake:N LateFail:N Moves:N Origin:N Peer:N Probe:N Waste:N",
            "FamilyInfo",
                    "Groups:F Hint:T MessageAimS:L Mode:T Notes:T ParkS:N ReportX0:T ReportX1:T TellsDelay:F"
                            + " TellsLoad:F TenantQuotaConnections:L",
            "LoadReport", "Fields:L How:T",
            "Rules", "AnswerSlackS:N AskWithinS:P ColdS:N ColdShare:N DrainGraceS:N FallS:N OverloadFactor:N",
            "ScoringMix", "Whole:N WorstClass:N WorstTenant:N WorstWindow:N");
    private static final String CLASS =
            "AimS:P Effect:T Group:T HardLimitS:P LateWorth:N Name:T RepeatWindowS:N Streaming:F Worth:N";
    private static final String TENANT = "Fraction:N Name:T QuotaPerS:N";
    private static final Map<String, Set<String>> WORDS =
            Map.of("Effect", Set.of("repeatable", "by_key", "once"), "Group", Set.of("all", "zone", "cell"));

    private ConfigValidator() {}

    /** A {@link MalformedInputException} says what is missing or of another kind, first of all. */
    static void check(Map<String, Object> json) {
        object("the file", json, TOP);
        object("limits", json.get("limits"), LIMITS);
        object("known", json.get("known"), KNOWN);
        Map<?, ?> settings = object("settings", json.get("settings"), SETTINGS);
        PARTS.forEach((part, keys) -> object(part, settings.get(part), keys));
        List<?> classes = named("Classes", settings, CLASS);
        if (classes.isEmpty()) {
            throw new MalformedInputException("Classes is empty");
        }
        for (Object c : classes) {
            WORDS.forEach((key, words) -> {
                Object word = ((Map<?, ?>) c).get(key);
                if (!words.contains(word)) {
                    throw new MalformedInputException(
                            key + " is none of " + words.stream().sorted().toList() + ": " + word);
                }
            });
        }
        named("Tenants", settings, TENANT);
    }

    private static List<?> named(String what, Map<?, ?> settings, String keys) {
        List<?> entries = (List<?>) settings.get(what);
        Set<Object> names = new HashSet<>();
        for (Object entry : entries) {
            if (!names.add(object("an entry of " + what, entry, keys).get("Name"))) {
                throw new MalformedInputException(what + " has a name twice");
            }
        }
        return entries;
    }

    private static Map<?, ?> object(String where, Object value, String keys) {
        if (!(value instanceof Map<?, ?> map)) {
            throw new MalformedInputException(where + " is not an object");
        }
        for (String key : keys.split(" ")) {
            int colon = key.indexOf(':');
            String name = key.substring(0, colon);
            if (!map.containsKey(name)) {
                throw new MalformedInputException(name + " is missing from " + where);
            }
            if (!is(Kind.valueOf(key.substring(colon + 1)), map.get(name))) {
                throw new MalformedInputException(name + " of " + where + " is not what it should be");
            }
        }
        return map;
    }

    private static boolean is(Kind kind, Object value) {
        return switch (kind) {
            case T -> value instanceof String s && !s.isBlank();
            case L -> value instanceof List<?>;
            case O -> value instanceof Map<?, ?>;
            case F -> value instanceof Boolean;
            case N -> value instanceof Double d && Double.isFinite(d);
            case P -> value instanceof Double d && Double.isFinite(d) && d > 0;
            case W -> value instanceof Double d && d >= 1 && d <= Integer.MAX_VALUE && d == Math.rint(d);
        };
    }
}

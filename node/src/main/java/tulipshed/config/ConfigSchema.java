package tulipshed.config;

import static tulipshed.config.ValueType.BOOLEAN;
import static tulipshed.config.ValueType.LIST;
import static tulipshed.config.ValueType.NUMBER;
import static tulipshed.config.ValueType.OBJECT;
import static tulipshed.config.ValueType.POSITIVE_INTEGER;
import static tulipshed.config.ValueType.POSITIVE_NUMBER;
import static tulipshed.config.ValueType.STRING;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The required fields of the configuration file, by their external names, with their types. */
final class ConfigSchema {
    /** The top-level object of the file. */
    static final ObjectSchema FILE = ObjectSchema.EMPTY
            .with("name", STRING)
            .with("listen", STRING)
            .with("discovery", STRING)
            .with("seed", STRING)
            .with("limits", OBJECT)
            .with("known", OBJECT)
            .with("settings", OBJECT);

    /** Object {@code limits}. */
    static final ObjectSchema LIMITS = ObjectSchema.EMPTY
            .with("cores", POSITIVE_NUMBER)
            .with("memory_mb", POSITIVE_NUMBER)
            .with("sockets", POSITIVE_INTEGER);

    /** Object {@code known}: the cached endpoint list. */
    static final ObjectSchema KNOWN = ObjectSchema.EMPTY.with("version", NUMBER).with("servers", LIST);

    /** Object {@code settings}; its nested objects are described by {@link #SETTINGS_OBJECTS}. */
    static final ObjectSchema SETTINGS = ObjectSchema.EMPTY
            .with("Bounds", OBJECT)
            .with("Callers", OBJECT)
            .with("Charges", OBJECT)
            .with("Classes", LIST)
            .with("CountedBy", STRING)
            .with("Dcs", LIST)
            .with("Discovery", STRING)
            .with("Family", STRING)
            .with("FamilyInfo", OBJECT)
            .with("Kinds", LIST)
            .with("Layer", NUMBER)
            .with("LoadReport", OBJECT)
            .with("Me", NUMBER)
            .with("OverShareWorth", NUMBER)
            .with("PeersTotal", POSITIVE_INTEGER)
            .with("QuantumS", NUMBER)
            .with("Rules", OBJECT)
            .with("ScoringMix", OBJECT)
            .with("Tenants", LIST)
            .with("Tiers", LIST)
            .with("Weights", STRING)
            .with("Zone", STRING);

    /** An entry of {@code settings.Classes}. */
    static final ObjectSchema CLASS = ObjectSchema.EMPTY
            .with("AimS", POSITIVE_NUMBER)
            .with("Effect", STRING)
            .with("Group", STRING)
            .with("HardLimitS", POSITIVE_NUMBER)
            .with("LateWorth", NUMBER)
            .with("Name", STRING)
            .with("RepeatWindowS", NUMBER)
            .with("Streaming", BOOLEAN)
            .with("Worth", NUMBER);

    /** An entry of {@code settings.Tenants}. */
    static final ObjectSchema TENANT =
            ObjectSchema.EMPTY.with("Fraction", NUMBER).with("Name", STRING).with("QuotaPerS", NUMBER);

    private static final ObjectSchema BOUNDS = ObjectSchema.EMPTY
            .with("Cancel", BOOLEAN)
            .with("ConnIdleS", NUMBER)
            .with("ConnectTimeoutS", POSITIVE_NUMBER)
            .with("CpuUsPerRequest", NUMBER)
            .with("CpuUsPerS", NUMBER)
            .with("MaxAttempts", POSITIVE_INTEGER)
            .with("MaxOpen", NUMBER)
            .with("MaxRetryAfterS", NUMBER)
            .with("MayDuplicate", BOOLEAN)
            .with("Peers", BOOLEAN)
            .with("Probes", BOOLEAN)
            .with("RetryAfter", BOOLEAN)
            .with("StreamsPerConn", NUMBER);

    private static final ObjectSchema CALLERS = ObjectSchema.EMPTY.with("MarksRetry", BOOLEAN);

    private static final ObjectSchema CHARGES = ObjectSchema.EMPTY
            .with("Connection", NUMBER)
            .with("CrossZone", NUMBER)
            .with("Discovery", NUMBER)
            .with("Handshake", NUMBER)
            .with("LateFail", NUMBER)
            .with("Moves", NUMBER)
            .with("Origin", NUMBER)
            .with("Peer", NUMBER)
            .with("Probe", NUMBER)
            .with("Waste", NUMBER);

    private static final ObjectSchema FAMILY_INFO = ObjectSchema.EMPTY
            .with("Groups", BOOLEAN)
            .with("Hint", STRING)
            .with("MessageAimS", LIST)
            .with("Mode", STRING)
            .with("Notes", STRING)
            .with("ParkS", NUMBER)
            .with("ReportX0", STRING)
            .with("ReportX1", STRING)
            .with("TellsDelay", BOOLEAN)
            .with("TellsLoad", BOOLEAN)
            .with("TenantQuotaConnections", LIST);

    private static final ObjectSchema LOAD_REPORT =
            ObjectSchema.EMPTY.with("Fields", LIST).with("How", STRING);

    private static final ObjectSchema RULES = ObjectSchema.EMPTY
            .with("AnswerSlackS", NUMBER)
            .with("AskWithinS", POSITIVE_NUMBER)
            .with("ColdS", NUMBER)
            .with("ColdShare", NUMBER)
            .with("DrainGraceS", NUMBER)
            .with("FallS", NUMBER)
            .with("OverloadFactor", NUMBER);

    private static final ObjectSchema SCORING_MIX = ObjectSchema.EMPTY
            .with("Whole", NUMBER)
            .with("WorstClass", NUMBER)
            .with("WorstTenant", NUMBER)
            .with("WorstWindow", NUMBER);

    /** The schemas of the nested objects of {@code settings} by key, in the order in which they are checked. */
    static final Map<String, ObjectSchema> SETTINGS_OBJECTS = settingsObjects();

    /** The valid values of {@code Effect} in an entry of {@code settings.Classes}. */
    static final Set<String> EFFECTS = Set.of("repeatable", "by_key", "once");

    /** The valid values of {@code Group} in an entry of {@code settings.Classes}. */
    static final Set<String> GROUPS = Set.of("all", "zone", "cell");

    private ConfigSchema() {}

    private static Map<String, ObjectSchema> settingsObjects() {
        Map<String, ObjectSchema> schemas = new LinkedHashMap<>();
        schemas.put("Bounds", BOUNDS);
        schemas.put("Callers", CALLERS);
        schemas.put("Charges", CHARGES);
        schemas.put("FamilyInfo", FAMILY_INFO);
        schemas.put("LoadReport", LOAD_REPORT);
        schemas.put("Rules", RULES);
        schemas.put("ScoringMix", SCORING_MIX);
        return schemas;
    }
}

package tulipshed.routing;

/** What the rules make of a transaction: its class, its tenant and its group, the last two null where there is none. */
public record RequestClassification(String className, String tenant, String group) {}

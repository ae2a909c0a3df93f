package tulipshed.routing;

/**
 * The class, tenant and group of a request after the classification rules.
 *
 * @param className the name of its class
 * @param tenant the name of its tenant, null if there is none
 * @param group its affinity group, null if there is none
 */
public record RequestClassification(String className, String tenant, String group) {}

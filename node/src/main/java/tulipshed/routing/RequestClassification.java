package tulipshed.routing;

/**
 * What the classification rules assign to a request.
 *
 * @param className the name of its class
 * @param tenant the name of its tenant, null where there is none
 * @param group its affinity group, null where there is none
 */
public record RequestClassification(String className, String tenant, String group) {}

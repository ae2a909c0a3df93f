package tulipshed.decision.api;

/**
 * Prices of costly operations, each as a fraction of the total score; 0 if the operation is free.
 *
 * @param crossZone price of a connection to an endpoint in another zone
 * @param handshake price of opening a connection
 * @param healthCheck price of one health check per request
 * @param migration price of migrating a connection
 * @param waste price of wasted work, as measured by the site
 */
public record Prices(double crossZone, double handshake, double healthCheck, double migration, double waste) {}

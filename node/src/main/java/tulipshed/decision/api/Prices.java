package tulipshed.decision.api;

/**
 * Prices of costly operations, each as a share of the total result; 0 if it is free.
 *
 * @param crossZone price of a connection to an endpoint in another zone
 * @param handshake price of opening a connection
 * @param healthCheck price of one health check per request
 * @param migration price of migrating a connection
 * @param waste price of waste, as the site measures it
 */
public record Prices(double crossZone, double handshake, double healthCheck, double migration, double waste) {}

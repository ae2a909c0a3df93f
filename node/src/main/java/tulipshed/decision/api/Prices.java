package tulipshed.decision.api;

/** Price of one unit of each, as a share of the total result; 0 if it is free. */
public record Prices(double crossZone, double handshake, double healthCheck, double migration, double waste) {}

package tulipshed.emulator.scenario;

/**
 * A fault that is injected, or an operator's action. What the numbers mean for each kind is in {@code docs/emulator.md}.
 *
 * @param atMs virtual time of its beginning, in milliseconds
 * @param kind one of {@link FaultKinds}
 * @param share share of the nodes, endpoints or clients that it affects
 * @param durationMs its duration, in milliseconds
 * @param factor its strength; the unit depends on the kind
 * @param count number of the parts that it affects, where that is not given by the share
 */
public record FaultSettings(double atMs, String kind, double share, double durationMs, double factor, int count) {}

package tulipshed.emulator.invariants;

/**
 * A violation of an invariant.
 *
 * @param atMs virtual time, in milliseconds
 * @param where index of the node, or of the endpoint for {@link Invariant#SLOW_START_LIMIT}
 * @param what description, with the events that led to it
 */
public record Violation(double atMs, int where, String what) {}

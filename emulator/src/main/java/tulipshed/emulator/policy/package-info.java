/**
 * The policies that decide in an emulated node: the real decision module, the node's whole core, the policies of the
 * literature and the oracles that they are compared with, and the core with defects that the invariants must find.
 *
 * <p>{@link tulipshed.emulator.policy.PolicyFactory} makes them by the names that scenario files use. The package may use
 * the node's packages, the scenario and the invariants. It reads time and randomness only from its
 * {@link tulipshed.emulator.policy.PolicyHost}, which {@code EmulatorPackagesTest} checks.
 */
package tulipshed.emulator.policy;

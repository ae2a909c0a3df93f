/**
 * Scenarios of the emulator: the records that describe one, with their units, and the reader of scenario files.
 *
 * <p>The words of scenario files and the paths of overrides are external names, which
 * {@link tulipshed.emulator.scenario.ScenarioReader} translates into the records' components;
 * {@link tulipshed.emulator.scenario.FaultKinds} and {@link tulipshed.emulator.scenario.PolicyNames} list those that are
 * values. The package uses the node's S-expression reader and nothing else of the project.
 */
package tulipshed.emulator.scenario;

/**
 * The emulated world: nodes with their clients, endpoints, discovery, the network between them, and faults. {@link
 * tulipshed.emulator.model.World} builds it from a scenario and a seed, runs it and gives the result of the run.
 *
 * <p>Nodes, endpoints and discovery are actors of the engine; the types of messages between them are sealed interfaces. All
 * randomness comes from the seed by {@link tulipshed.emulator.model.RandomStreams}. The package uses the engine, scenarios,
 * policies and invariants; load tests, acceptance tests, results and commands use it.
 */
package tulipshed.emulator.model;

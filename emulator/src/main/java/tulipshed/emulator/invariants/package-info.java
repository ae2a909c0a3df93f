/**
 * Checks of the invariants that bind a node, from nothing but the events that it sees and the actions that it takes.
 *
 * <p>The package uses nothing but the JDK: it shares no code with the node and knows neither the emulated world nor
 * sockets, so that emulated nodes and real processes are checked alike. {@code EmulatorPackagesTest} holds it to that.
 */
package tulipshed.emulator.invariants;

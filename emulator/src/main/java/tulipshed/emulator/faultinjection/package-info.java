/**
 * Fault-injection tests: several processes of the node in the emulated world, with every link between them and it through
 * a TCP proxy that can hold, delay, drop or reset, and processes that are suspended; the invariants and bounds that must
 * hold all the same. May use {@code emulator.loadtest}, {@code emulator.model}, {@code emulator.scenario} and {@code
 * emulator.invariants}; no other package but the command line uses it.
 *
 * <p>A run takes its faults from the scenario and its seed ({@link
 * tulipshed.emulator.faultinjection.LinkFaultGenerator}); real time makes runs differ all the same.
 */
package tulipshed.emulator.faultinjection;

/** What an emulated world is made of, read from S-expressions, each figure with its bounds and open to overrides. */
package tulipshed.emulator.scenario;

/** The emulator's command line. */
package tulipshed.emulator.cli;

/** Real nodes in an emulated world: processes on loopback, with members and clients of the emulator on real sockets. */
package tulipshed.emulator.loadtest;

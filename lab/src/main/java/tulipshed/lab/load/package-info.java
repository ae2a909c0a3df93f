/** Real nodes in an emulated world: processes on loopback, with members and clients of the lab on real sockets. */
package tulipshed.lab.load;

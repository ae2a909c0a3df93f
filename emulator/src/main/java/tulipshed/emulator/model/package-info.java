/** The emulated world: nodes, pool members, discovery, the network between them and the clients. */
package tulipshed.emulator.model;

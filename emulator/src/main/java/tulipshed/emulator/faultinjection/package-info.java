/** Fleet trials: several processes of the node, links between them and the world that fail on purpose, and what must hold. */
package tulipshed.emulator.faultinjection;

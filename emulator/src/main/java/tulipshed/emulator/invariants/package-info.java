/**
 * Checkers of the rules that bind a node, from nothing but what went in and out of it. They share no code with the node
 * and know neither emulator nor sockets, so both are held to the same.
 */
package tulipshed.emulator.invariants;

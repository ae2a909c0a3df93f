/**
 * The standing test of this project: six kinds of day drawn from a seed, each played by the node's whole core and by two
 * policies that it is held against, with every rule checked. Knows the operators' words for the days, not their bench.
 */
package tulipshed.emulator.acceptance;

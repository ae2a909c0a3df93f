/** Stubs of discovery and of an endpoint on loopback, for the demo, the emulator's load tests and the node's tests. */
@NullMarked
package tulipshed.demo;

import org.jspecify.annotations.NullMarked;

/**
 * Sockets and the event loop, based on XNIO, and the state that the two processes of one node share during a hot
 * restart.
 *
 * <p>{@link tulipshed.transport.XnioEventLoop} opens connections, listeners and UDP sockets and counts their
 * descriptors. {@link tulipshed.transport.HotRestartState} holds the state that one process publishes for the other;
 * {@code HotRestartLayout} defines the bytes of the shared file.
 */
package tulipshed.transport;

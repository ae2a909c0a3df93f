/**
 * Sockets and the event loop, on XNIO, and the state that the two processes of one node share during a hot restart.
 *
 * <p>{@link tulipshed.transport.XnioEventLoop} opens connections, listeners and UDP sockets and counts their descriptors.
 * {@link tulipshed.transport.HotRestartState} holds what one process publishes for the other; the bytes of the shared file
 * are those of {@code HotRestartSlot}.
 */
package tulipshed.transport;

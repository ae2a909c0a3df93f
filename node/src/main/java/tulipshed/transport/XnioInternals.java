package tulipshed.transport;

import java.io.IOException;
import java.lang.reflect.AccessibleObject;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelectableChannel;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.MulticastMessageChannel;

/**
 * Reflective access to constructors and methods of XNIO that are not public, for {@link XnioListeningSocket} and {@link
 * XnioEventLoop}. They wrap channels that this program has opened or accepted itself, which the public API of XNIO does
 * not support: XNIO accepts on a separate thread, pauses for at least 250 ms after a failed accept, and leaks the
 * descriptor of a UDP socket that it cannot bind.
 *
 * <p>The names are those of the XNIO version that the build pins. With a version that lacks them, this class fails to
 * initialize and no listener opens.
 */
final class XnioInternals {
    private static final String PACKAGE = "org.xnio.nio.";

    /** Creates a listener for a channel whose readiness is reported on the I/O thread. */
    private static final Constructor<?> NEW_SERVER;

    /** Registers a channel with the selector of an I/O thread. */
    private static final Method REGISTER_CHANNEL;

    /** Creates a connection for a registered channel. */
    private static final Constructor<?> NEW_CONNECTION;

    /** Creates a datagram channel. */
    private static final Constructor<?> NEW_UDP_CHANNEL;

    /** Whether readiness is reported on the accept thread rather than on the I/O threads. */
    private static final boolean USE_ACCEPT_THREAD = false;

    static {
        try {
            Class<?> thread = Class.forName(PACKAGE + "WorkerThread");
            NEW_SERVER = Class.forName(PACKAGE + "NioTcpServer")
                    .getDeclaredConstructor(
                            Class.forName(PACKAGE + "NioXnioWorker"),
                            ServerSocketChannel.class,
                            OptionMap.class,
                            boolean.class);
            REGISTER_CHANNEL = thread.getDeclaredMethod("registerChannel", AbstractSelectableChannel.class);
            NEW_CONNECTION = Class.forName(PACKAGE + "NioSocketStreamConnection")
                    .getDeclaredConstructor(thread, SelectionKey.class, Class.forName(PACKAGE + "ChannelClosed"));
            NEW_UDP_CHANNEL = Class.forName(PACKAGE + "NioUdpChannel")
                    .getDeclaredConstructor(Class.forName(PACKAGE + "NioXnioWorker"), DatagramChannel.class);
            AccessibleObject.setAccessible(
                    new AccessibleObject[] {NEW_SERVER, REGISTER_CHANNEL, NEW_CONNECTION, NEW_UDP_CHANNEL}, true);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    private XnioInternals() {}

    /** Returns a listener for a bound, non-blocking channel; its accept listener runs on the worker's I/O thread. */
    @SuppressWarnings("unchecked") // the type that XNIO's own class implements
    static AcceptingChannel<StreamConnection> newServer(XnioWorker worker, ServerSocketChannel channel)
            throws IOException {
        return (AcceptingChannel<StreamConnection>)
                call(() -> NEW_SERVER.newInstance(worker, channel, OptionMap.EMPTY, USE_ACCEPT_THREAD));
    }

    /** Returns a connection over a connected, non-blocking channel. */
    static StreamConnection newConnection(XnioIoThread thread, SocketChannel channel) throws IOException {
        Object key = call(() -> REGISTER_CHANNEL.invoke(thread, channel));
        Object noCloseListener = null;
        return (StreamConnection) call(() -> NEW_CONNECTION.newInstance(thread, key, noCloseListener));
    }

    /** Returns a message channel over a bound, non-blocking socket. */
    static MulticastMessageChannel newUdpChannel(XnioWorker worker, DatagramChannel channel) throws IOException {
        return (MulticastMessageChannel) call(() -> NEW_UDP_CHANNEL.newInstance(worker, channel));
    }

    private interface ReflectiveCall {
        Object run() throws ReflectiveOperationException;
    }

    private static Object call(ReflectiveCall reflective) throws IOException {
        try {
            return reflective.run();
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof IOException failure) {
                throw failure;
            }
            throw new IllegalStateException(e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}

package tulipshed.transport;

import java.io.IOException;
import java.net.ProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;

/**
 * Selector provider that delegates to the platform's default provider, but sets {@code SO_REUSEPORT} on TCP listeners
 * so that both processes of a hot restart can listen on the same address. XNIO opens and binds a listener in one step
 * and has no option for this.
 *
 * <p>Loaded by the Java runtime as a service. The manifest of the program opens the package of the platform's provider
 * to it.
 */
public final class ReusePortProvider extends SelectorProvider {
    private final SelectorProvider platform;

    /** Called once by the Java runtime. */
    public ReusePortProvider() {
        try {
            platform = (SelectorProvider) Class.forName("sun.nio.ch.DefaultSelectorProvider")
                    .getMethod("get")
                    .invoke(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("default SelectorProvider not found in this Java runtime", e);
        }
    }

    @Override
    public ServerSocketChannel openServerSocketChannel() throws IOException {
        return platform.openServerSocketChannel().setOption(StandardSocketOptions.SO_REUSEPORT, true);
    }

    @Override
    public DatagramChannel openDatagramChannel() throws IOException {
        return platform.openDatagramChannel();
    }

    @Override
    public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
        return platform.openDatagramChannel(family);
    }

    @Override
    public Pipe openPipe() throws IOException {
        return platform.openPipe();
    }

    @Override
    public AbstractSelector openSelector() throws IOException {
        return platform.openSelector();
    }

    @Override
    public SocketChannel openSocketChannel() throws IOException {
        return platform.openSocketChannel();
    }

    @Override
    public Channel inheritedChannel() throws IOException {
        return platform.inheritedChannel();
    }
}

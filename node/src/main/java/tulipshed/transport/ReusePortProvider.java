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
 * The platform's provider of channels, except that TCP listeners set {@code SO_REUSEPORT}, by which the two processes of a
 * hot restart listen at one address. XNIO opens and binds a listener in one step and has no option for that.
 *
 * <p>The virtual machine finds this class as a service; the program's manifest opens the platform's provider to it.
 */
public final class ReusePortProvider extends SelectorProvider {
    private final SelectorProvider platform;

    /** Called by the virtual machine, once. */
    public ReusePortProvider() {
        try {
            platform = (SelectorProvider) Class.forName("sun.nio.ch.DefaultSelectorProvider")
                    .getMethod("get")
                    .invoke(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this virtual machine has another provider of channels", e);
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

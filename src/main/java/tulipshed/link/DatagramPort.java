package tulipshed.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** One UDP socket. What cannot be sent at once is dropped, as any hop on the way might. */
public final class DatagramPort {
    private final MulticastMessageChannel channel;
    private final Runnable whenClosed;
    private boolean closed;

    /** Hears every datagram that comes in. */
    public interface Receiver {
        void received(InetSocketAddress from, byte[] datagram);
    }

    DatagramPort(MulticastMessageChannel channel, ByteBuffer scratch, Receiver receiver, Runnable whenClosed) {
        this.channel = channel;
        this.whenClosed = whenClosed;
        SocketAddressBuffer addresses = new SocketAddressBuffer();
        channel.getReadSetter().set(c -> receive(scratch, addresses, receiver));
        channel.resumeReads();
    }

    private void receive(ByteBuffer scratch, SocketAddressBuffer addresses, Receiver receiver) {
        while (!closed) {
            scratch.clear();
            try {
                // XNIO says 0 both for nothing there and for an empty datagram; neither is of use here.
                if (channel.receiveFrom(addresses, scratch) <= 0) {
                    return;
                }
            } catch (IOException e) {
                // An error that the network reported for an earlier datagram; the socket goes on.
                return;
            }
            byte[] datagram = new byte[scratch.flip().remaining()];
            scratch.get(datagram);
            receiver.received((InetSocketAddress) addresses.getSourceAddress(), datagram);
        }
    }

    /** Sends a datagram, or drops it where the network will not take it now. */
    public void send(InetSocketAddress to, byte[] datagram) {
        if (!closed) {
            try {
                channel.sendTo(to, ByteBuffer.wrap(datagram));
            } catch (IOException e) {
                // Dropped: whoever sent it sends again.
                return;
            }
        }
    }

    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    public void close() {
        if (!closed) {
            closed = true;
            whenClosed.run();
            IoUtils.safeClose(channel);
        }
    }
}

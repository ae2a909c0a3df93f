package tulipshed.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** One UDP socket. What cannot be sent at once is dropped, as any hop on the way might. */
public final class UdpSocket {
    private final MulticastMessageChannel channel;
    private final Runnable whenClosed;
    private boolean closed;

    /** Hears every datagram that comes in. */
    public interface Receiver {
        void onDatagram(InetSocketAddress from, byte[] datagram);
    }

    UdpSocket(
            MulticastMessageChannel channel,
            ByteBuffer scratch,
            int readsAtOnce,
            Receiver receiver,
            Runnable whenClosed) {
        this.channel = channel;
        this.whenClosed = whenClosed;
        SocketAddressBuffer addresses = new SocketAddressBuffer();
        channel.getReadSetter().set(c -> receive(scratch, readsAtOnce, addresses, receiver));
        channel.resumeReads();
    }

    /** Reads a batch. One socket that is flooded must not keep the others waiting, so what is left comes at the next turn. */
    private void receive(ByteBuffer scratch, int readsAtOnce, SocketAddressBuffer addresses, Receiver receiver) {
        for (int i = 0; i < readsAtOnce && !closed; i++) {
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
            receiver.onDatagram((InetSocketAddress) addresses.getSourceAddress(), datagram);
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

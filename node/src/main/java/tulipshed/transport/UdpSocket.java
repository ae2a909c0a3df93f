package tulipshed.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;
import tulipshed.proxy.EventLoop;

/** One UDP socket. A datagram that cannot be sent at once is dropped. Confined to the event-loop thread. */
public final class UdpSocket {
    /** How long a socket is not read after all reads of a batch have failed. */
    private static final double FAILURE_PAUSE_MS = 5;

    private final EventLoop loop;
    private final MulticastMessageChannel channel;
    private final ByteBuffer scratch;
    private final int batchSize;
    private final Receiver receiver;
    private final Runnable onClosed;
    private final SocketAddressBuffer addresses = new SocketAddressBuffer();
    private boolean isClosed;

    /** Takes the datagrams that a socket receives. */
    public interface Receiver {
        /** A datagram was received; the array belongs to the receiver. */
        void onDatagram(InetSocketAddress from, byte[] datagram);
    }

    /** A socket that reads at most {@code batchSize} datagrams each time it is readable. */
    UdpSocket(
            EventLoop loop,
            MulticastMessageChannel channel,
            ByteBuffer scratch,
            int batchSize,
            Receiver receiver,
            Runnable onClosed) {
        this.loop = loop;
        this.channel = channel;
        this.scratch = scratch;
        this.batchSize = batchSize;
        this.receiver = receiver;
        this.onClosed = onClosed;
        channel.getReadSetter().set(ready -> receiveBatch());
        channel.resumeReads();
    }

    /** Reads a batch; the rest waits for the loop's next iteration, so that a flooded socket does not starve the others. */
    public void receiveBatch() {
        int failures = 0;
        for (int i = 0; i < batchSize && !isClosed; i++) {
            scratch.clear();
            try {
                // XNIO returns 0 both where nothing is there and for an empty datagram, which is of no use here.
                if (channel.receiveFrom(addresses, scratch) <= 0) {
                    return;
                }
            } catch (IOException e) {
                // An error that the network reported for an earlier datagram; the socket still works.
                failures++;
                continue;
            }
            byte[] datagram = new byte[scratch.flip().remaining()];
            scratch.get(datagram);
            receiver.onDatagram((InetSocketAddress) addresses.getSourceAddress(), datagram);
        }
        if (failures == batchSize) {
            pauseReads();
        }
    }

    /** Else the loop would spin for as long as the failure lasts. */
    private void pauseReads() {
        channel.suspendReads();
        loop.schedule(FAILURE_PAUSE_MS, () -> {
            if (!isClosed) {
                channel.resumeReads();
            }
        });
    }

    /**
     * Sends a datagram, or drops it where the kernel does not accept it now; the protocol above retransmits.
     *
     * @return whether the kernel accepted it
     */
    public boolean send(InetSocketAddress to, byte[] datagram) {
        try {
            return !isClosed && channel.sendTo(to, ByteBuffer.wrap(datagram));
        } catch (IOException e) {
            return false;
        }
    }

    /** The local address. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Closes the socket; does nothing where it is closed. */
    public void close() {
        if (!isClosed) {
            isClosed = true;
            onClosed.run();
            IoUtils.safeClose(channel);
        }
    }
}

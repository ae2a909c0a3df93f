package tulipshed.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;
import tulipshed.proxy.EventLoop;

/** A UDP socket. A datagram that cannot be sent at once is dropped. Confined to the event-loop thread. */
public final class UdpSocket {
    /** Pause of reads after all reads of a batch have failed. */
    private static final double READ_FAILURE_PAUSE_MS = 5;

    private final EventLoop loop;
    private final MulticastMessageChannel channel;
    private final ByteBuffer readBuffer;
    private final int batchSize;
    private final Receiver receiver;
    private final Runnable onClosed;
    private final SocketAddressBuffer addresses = new SocketAddressBuffer();
    private boolean isClosed;

    /** Receives the datagrams of a socket. */
    public interface Receiver {
        /** Called for each received datagram; the receiver owns the array. */
        void onDatagram(InetSocketAddress from, byte[] datagram);
    }

    /** Creates a socket that reads at most {@code batchSize} datagrams each time it is readable. */
    UdpSocket(
            EventLoop loop,
            MulticastMessageChannel channel,
            ByteBuffer readBuffer,
            int batchSize,
            Receiver receiver,
            Runnable onClosed) {
        this.loop = loop;
        this.channel = channel;
        this.readBuffer = readBuffer;
        this.batchSize = batchSize;
        this.receiver = receiver;
        this.onClosed = onClosed;
        channel.getReadSetter().set(ready -> receiveBatch());
        channel.resumeReads();
    }

    /**
     * Reads a batch of datagrams. Further ones are read in the next iteration of the loop, so that a flooded socket
     * does not starve the others.
     */
    public void receiveBatch() {
        int failures = 0;
        for (int i = 0; i < batchSize && !isClosed; i++) {
            readBuffer.clear();
            try {
                // XNIO returns 0 both if no datagram is available and for an empty datagram, which can be ignored here.
                if (channel.receiveFrom(addresses, readBuffer) <= 0) {
                    return;
                }
            } catch (IOException e) {
                // The network reported an error for a datagram sent earlier; the socket remains usable.
                failures++;
                continue;
            }
            byte[] datagram = new byte[readBuffer.flip().remaining()];
            readBuffer.get(datagram);
            receiver.onDatagram((InetSocketAddress) addresses.getSourceAddress(), datagram);
        }
        if (failures == batchSize) {
            pauseReads();
        }
    }

    /** Pauses reads, as the loop would spin while the failure lasts. */
    private void pauseReads() {
        channel.suspendReads();
        loop.schedule(READ_FAILURE_PAUSE_MS, () -> {
            if (!isClosed) {
                channel.resumeReads();
            }
        });
    }

    /**
     * Sends a datagram, or drops it if the kernel does not accept it now; the protocol above retransmits it.
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

    /** Local address. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Closes the socket; does nothing if it is already closed. */
    public void close() {
        if (!isClosed) {
            isClosed = true;
            onClosed.run();
            IoUtils.safeClose(channel);
        }
    }
}

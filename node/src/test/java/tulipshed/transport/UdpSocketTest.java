package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import tulipshed.limits.Limits;

/** UDP sockets of the event loop, on the loopback interface. */
class UdpSocketTest {
    private static final InetSocketAddress ANY_LOOPBACK_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /** With SO_REUSEADDR, XNIO's default, the kernel may give one free port to two sockets: the first then receives nothing. */
    @Test
    void bindsEachSocketToPortOfItsOwn() throws IOException {
        XnioEventLoop loop = new XnioEventLoop(Limits.forDescriptors(4096));
        List<UdpSocket> sockets = new ArrayList<>();
        Set<InetSocketAddress> addresses = new HashSet<>();
        try {
            for (int i = 0; i < 1500; i++) {
                sockets.add(loop.bindUdp(ANY_LOOPBACK_PORT, ByteBuffer.allocate(8), (from, datagram) -> {}));
                addresses.add(sockets.get(i).address());
            }
            assertEquals(sockets.size(), addresses.size());
        } finally {
            sockets.forEach(UdpSocket::close);
            loop.stop();
        }
    }

    /** A socket that is flooded is read in batches, and the other sockets are read between two of them. */
    @Test
    void servesOtherSocketsWhileOneIsFlooded() throws Exception {
        Limits limits = Limits.forDescriptors(1024);
        int batchSize = limits.quic().maxReadsPerEvent();
        XnioEventLoop loop = new XnioEventLoop(limits);
        AtomicInteger floodedReadBeforeQuiet = new AtomicInteger(-1);
        AtomicInteger floodedRead = new AtomicInteger();
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch allSent = new CountDownLatch(1);
        CountDownLatch allReceived = new CountDownLatch(2 * batchSize + 1);
        try (DatagramSocket sender = new DatagramSocket()) {
            loop.execute(() -> {
                loopBlocked.countDown();
                try {
                    allSent.await();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            UdpSocket flooded = loop.bindUdp(ANY_LOOPBACK_PORT, ByteBuffer.allocate(64), (from, datagram) -> {
                floodedRead.incrementAndGet();
                allReceived.countDown();
            });
            UdpSocket quiet = loop.bindUdp(ANY_LOOPBACK_PORT, ByteBuffer.allocate(64), (from, datagram) -> {
                floodedReadBeforeQuiet.set(floodedRead.get());
                allReceived.countDown();
            });
            loopBlocked.await();
            for (int i = 0; i < 2 * batchSize; i++) {
                sender.send(new DatagramPacket(new byte[] {1}, 1, flooded.address()));
            }
            sender.send(new DatagramPacket(new byte[] {1}, 1, quiet.address()));
            allSent.countDown();
            allReceived.await();
            assertTrue(
                    floodedReadBeforeQuiet.get() <= batchSize,
                    floodedReadBeforeQuiet.get()
                            + " datagrams of the flooded socket were read before the one of the other socket");
            flooded.close();
            quiet.close();
        } finally {
            loop.stop();
        }
    }
}

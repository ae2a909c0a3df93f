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

class UdpSocketTest {
    private static final InetSocketAddress ANY_LOOPBACK_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /** XNIO lets addresses be used again, by which the kernel may give one free port to two sockets: the first then hears nothing. */
    @Test
    void bindsEachSocketToPortOfItsOwn() throws IOException {
        XnioEventLoop loop = new XnioEventLoop(Limits.forDescriptors(4096));
        List<UdpSocket> ports = new ArrayList<>();
        Set<InetSocketAddress> addresses = new HashSet<>();
        try {
            for (int i = 0; i < 1500; i++) {
                ports.add(loop.bindUdp(ANY_LOOPBACK_PORT, ByteBuffer.allocate(8), (from, datagram) -> {}));
                addresses.add(ports.get(i).address());
            }
            assertEquals(ports.size(), addresses.size());
        } finally {
            ports.forEach(UdpSocket::close);
            loop.stop();
        }
    }

    /** A socket that is flooded gives the others their turn after each batch. */
    @Test
    void servesOtherSocketsWhileOneIsFlooded() throws Exception {
        Limits limits = Limits.forDescriptors(1024);
        int batch = limits.quic().maxReadsPerEvent();
        XnioEventLoop loop = new XnioEventLoop(limits);
        AtomicInteger before = new AtomicInteger(-1);
        AtomicInteger read = new AtomicInteger();
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch all = new CountDownLatch(2 * batch + 1);
        try (DatagramSocket sender = new DatagramSocket()) {
            loop.execute(() -> {
                begun.countDown();
                try {
                    held.await();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            UdpSocket flooded = loop.bindUdp(ANY_LOOPBACK_PORT, ByteBuffer.allocate(64), (from, datagram) -> {
                read.incrementAndGet();
                all.countDown();
            });
            UdpSocket quiet = loop.bindUdp(ANY_LOOPBACK_PORT, ByteBuffer.allocate(64), (from, datagram) -> {
                before.set(read.get());
                all.countDown();
            });
            begun.await();
            for (int i = 0; i < 2 * batch; i++) {
                sender.send(new DatagramPacket(new byte[] {1}, 1, flooded.address()));
            }
            sender.send(new DatagramPacket(new byte[] {1}, 1, quiet.address()));
            held.countDown();
            all.await();
            assertTrue(
                    before.get() <= batch,
                    before.get() + " datagrams of the flood came before the one of the other socket");
            flooded.close();
            quiet.close();
        } finally {
            loop.stop();
        }
    }
}

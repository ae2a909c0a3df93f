package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
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
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelListener;
import org.xnio.channels.MulticastMessageChannel;
import tulipshed.limits.Limits;
import tulipshed.proxy.EventLoop;

/** Tests of UDP sockets of the event loop, on the loopback interface. */
class UdpSocketTest {
    private static final InetSocketAddress ANY_LOOPBACK_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /**
     * With SO_REUSEADDR, which XNIO sets by default, the kernel may assign one free port to two sockets; the first one
     * then receives nothing.
     */
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

    /** A flooded socket is read in batches, and the other sockets are read between two batches. */
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

    /** Persistent read failures must not keep the loop busy: after a batch of failures, reads pause briefly. */
    @Test
    void pausesReadsAfterAllReadsOfBatchFailed() {
        List<String> calls = new ArrayList<>();
        List<Runnable> timers = new ArrayList<>();
        AtomicReference<ChannelListener<? super MulticastMessageChannel>> readListener = new AtomicReference<>();
        MulticastMessageChannel channel = (MulticastMessageChannel) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {MulticastMessageChannel.class},
                (proxy, method, arguments) -> {
                    calls.add(method.getName());
                    if (method.getName().equals("receiveFrom")) {
                        throw new IOException("No buffer space available");
                    }
                    return method.getName().equals("getReadSetter")
                            ? (ChannelListener.Setter<MulticastMessageChannel>) readListener::set
                            : null;
                });
        EventLoop loop = new EventLoop() {
            @Override
            public void execute(Runnable task) {
                throw new AssertionError("only timers");
            }

            @Override
            public void schedule(double delayMs, Runnable task) {
                assertTrue(delayMs >= 1 && delayMs <= 10, delayMs + " ms");
                timers.add(task);
            }
        };
        UdpSocket socket = new UdpSocket(loop, channel, ByteBuffer.allocate(8), 4, (from, datagram) -> {}, () -> {});
        calls.clear();
        readListener.get().handleEvent(channel);
        assertEquals(List.of("receiveFrom", "receiveFrom", "receiveFrom", "receiveFrom", "suspendReads"), calls);
        calls.clear();
        timers.get(0).run();
        assertEquals(List.of("resumeReads"), calls);
        socket.close();
    }
}

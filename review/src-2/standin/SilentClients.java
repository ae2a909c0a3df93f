package standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bad clients that open connections and say nothing, and come again the moment they are turned away. They read whatever is
 * sent to them.
 */
public final class SilentClients {
    private final int port;
    private final int perThread;
    private final AtomicLong turnedAway = new AtomicLong();
    private volatile boolean mayConnect = true;
    private volatile boolean stopped;
    private final List<Thread> threads = new ArrayList<>();

    public SilentClients(int port, int connections, int threadCount) {
        this.port = port;
        perThread = connections / threadCount;
        for (int i = 0; i < threadCount; i++) {
            threads.add(Threads.start(this::run));
        }
    }

    /** How often one of them was turned away. */
    public long turnedAway() {
        return turnedAway.get();
    }

    /** The front sends no more of them to the node; those that are connected stay until they are turned away. */
    public void stopConnecting() {
        mayConnect = false;
    }

    /** Closes all that is left. */
    public void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(2000);
        }
    }

    private void run() throws Exception {
        ByteBuffer buffer = ByteBuffer.allocate(512);
        try (Selector selector = Selector.open()) {
            int open = 0;
            while (!stopped) {
                for (; mayConnect && open < perThread; open++) {
                    connect(selector);
                }
                selector.select(20);
                for (SelectionKey key : selector.selectedKeys()) {
                    if (hasEnded(key, buffer)) {
                        key.channel().close();
                        open--;
                    }
                }
                selector.selectedKeys().clear();
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
        }
    }

    private void connect(Selector selector) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        boolean connected = channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
    }

    /** Whether the node has turned this one away or ended it. */
    private boolean hasEnded(SelectionKey key, ByteBuffer buffer) {
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (key.isConnectable()) {
                channel.finishConnect();
                key.interestOps(SelectionKey.OP_READ);
                return false;
            }
            buffer.clear();
            if (channel.read(buffer) != 0) {
                turnedAway.incrementAndGet();
                return true;
            }
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}

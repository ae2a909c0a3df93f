package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** One connection that speaks lines; bounded, and told of by one listener. */
final class LineConnection {
    private static final int LONGEST = 4096;

    private final SocketChannel channel;
    private final SelectionKey key;
    private final Listener listener;
    private final ByteBuffer in = ByteBuffer.allocate(LONGEST);
    private final StringBuilder out = new StringBuilder();
    private boolean over;
    private boolean closing;

    /** Who hears of it. */
    interface Listener {
        void line(LineConnection wire, String line);

        /** The other side ended it, in good order or not; nothing comes after. */
        void ended(LineConnection wire, boolean reset);
    }

    /** A connection towards an address. */
    static LineConnection connect(Selector selector, InetSocketAddress to, Listener listener) throws IOException {
        SocketChannel c = SocketChannel.open();
        c.configureBlocking(false);
        boolean connected = c.connect(to);
        return new LineConnection(c, selector, listener, connected);
    }

    /** One that was accepted. */
    LineConnection(SocketChannel channel, Selector selector, Listener listener, boolean connected) throws IOException {
        this.channel = channel;
        this.listener = listener;
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
    }

    boolean over() {
        return over;
    }

    /** Sends a line, at once where it can. */
    void say(String line) {
        out.append(line).append("\r\n");
        if (channel.isConnected()) {
            flush();
        }
    }

    /** Sends what was said, then ends this side in good order. */
    void sayAndClose(String line) {
        closing = true;
        say(line);
    }

    /** Something can be done. */
    void ready() {
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                flush();
            }
            if (!over && key.isValid() && key.isWritable()) {
                flush();
            }
            if (!over && key.isValid() && key.isReadable()) {
                read();
            }
        } catch (IOException e) {
            end(true);
        }
    }

    private void read() throws IOException {
        int n = channel.read(in);
        in.flip();
        int start = 0;
        for (int i = 0; i < in.limit(); i++) {
            if (in.get(i) == '\n') {
                int end = i > start && in.get(i - 1) == '\r' ? i - 1 : i;
                String line = StandardCharsets.ISO_8859_1
                        .decode(in.duplicate().position(start).limit(end))
                        .toString();
                start = i + 1;
                listener.line(this, line);
                if (over) {
                    return;
                }
            }
        }
        in.position(start);
        in.compact();
        if (n < 0) {
            end(false);
        } else if (!in.hasRemaining()) {
            throw new IOException("a line of more than " + LONGEST + " bytes");
        }
    }

    private void flush() {
        try {
            if (out.length() > 0) {
                ByteBuffer bytes = StandardCharsets.ISO_8859_1.encode(out.toString());
                channel.write(bytes);
                out.delete(0, out.length() - bytes.remaining());
            }
            if (out.length() > 0) {
                key.interestOps(key.interestOps() | SelectionKey.OP_WRITE);
            } else {
                key.interestOps(key.interestOps() & ~SelectionKey.OP_WRITE);
                if (closing) {
                    close();
                }
            }
        } catch (IOException e) {
            end(true);
        }
    }

    private void end(boolean reset) {
        if (!over) {
            close();
            listener.ended(this, reset);
        }
    }

    /** Ends it in good order; nothing is told of it any more. */
    void close() {
        over = true;
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) {
            // It is gone in any case.
            return;
        }
    }

    /** Ends it with a reset. */
    void reset() {
        try {
            if (channel.isOpen()) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException e) {
            // The other side was faster.
            over = true;
        }
        close();
    }
}

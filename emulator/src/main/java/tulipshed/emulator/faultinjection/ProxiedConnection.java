package tulipshed.emulator.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** One connection over a link: two sockets, and in each direction what has been read and not yet been passed on. */
final class ProxiedConnection {
    private static final int HELD_BYTES = 256 * 1024;
    private static final int LINE_BYTES = 4096;

    private final ProxiedLink link;
    private final FaultInjectionProxy relays;
    private final Side node;
    private final Side other;
    private final StringBuilder first = new StringBuilder();
    private final long number;
    private long firstRound = -1;
    private boolean toldFirst;
    private boolean toldOver;

    private enum End {
        NONE,
        FINISHED,
        RESET
    }

    /** What was read at once, or an end, and when it is due. */
    private record Piece(ByteBuffer bytes, End end, long dueNs) {}

    /** One socket, and what waits to be written to it. */
    private final class Side {
        private final SocketChannel channel;
        private final SelectionKey key;
        private final ArrayDeque<Piece> due = new ArrayDeque<>();
        private int bytes;
        private long lastNs;
        private boolean blocked;
        private boolean readOut;

        Side(SocketChannel channel, boolean connecting) throws IOException {
            this.channel = channel;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            key = channel.register(
                    relays.selector(),
                    connecting ? SelectionKey.OP_CONNECT : SelectionKey.OP_READ,
                    ProxiedConnection.this);
        }

        void interest() {
            if (key.isValid() && (key.interestOps() & SelectionKey.OP_CONNECT) == 0) {
                Side towards = this == node ? other : node;
                boolean reads = !readOut && (towards == null || towards.bytes < HELD_BYTES);
                key.interestOps((reads ? SelectionKey.OP_READ : 0) | (blocked ? SelectionKey.OP_WRITE : 0));
            }
        }
    }

    /** Carries a connection on to an address, or nowhere where that is null. */
    ProxiedConnection(ProxiedLink link, FaultInjectionProxy relays, SocketChannel from, InetSocketAddress to)
            throws IOException {
        this.link = link;
        this.relays = relays;
        number = relays.nextConnection();
        node = new Side(from, false);
        if (to == null) {
            other = null;
            return;
        }
        SocketChannel c = SocketChannel.open();
        c.configureBlocking(false);
        other = new Side(c, !c.connect(to));
    }

    /** Whether nobody is at its other end. */
    boolean unheard() {
        return other == null;
    }

    void ready() {
        try {
            if (other != null && other.key.isValid() && other.key.isConnectable() && other.channel.finishConnect()) {
                other.key.interestOps(SelectionKey.OP_READ);
            }
        } catch (IOException e) {
            // Refused: as a process that is not there refuses.
            reset(false);
            return;
        }
        read(node);
        if (other != null) {
            read(other);
        }
        for (Side s : new Side[] {node, other}) {
            if (s != null && s.key.isValid() && s.key.isWritable()) {
                s.blocked = false;
            }
        }
        deliver();
    }

    private void read(Side s) {
        if (s.readOut || !s.key.isValid() || !s.key.isReadable()) {
            return;
        }
        ByteBuffer in = relays.scratch();
        in.clear();
        End end = End.NONE;
        try {
            end = s.channel.read(in) < 0 ? End.FINISHED : End.NONE;
        } catch (IOException e) {
            end = End.RESET;
        }
        in.flip();
        if (s == node && in.hasRemaining()) {
            hearFirst(in.duplicate());
        }
        Side towards = s == node ? other : node;
        if (in.hasRemaining()) {
            byte[] bytes = new byte[in.remaining()];
            in.get(bytes);
            put(towards, new Piece(ByteBuffer.wrap(bytes), End.NONE, dueNs(towards)));
        }
        if (end != End.NONE) {
            s.readOut = true;
            put(towards, new Piece(null, end, dueNs(towards)));
            if (s == node) {
                over();
            }
        }
        s.interest();
    }

    private long dueNs(Side towards) {
        LinkState c = link.condition();
        double ms = c.delayMs() + (c.jitterMs() > 0 ? c.jitterMs() * relays.chance() : 0);
        long due = System.nanoTime() + (long) (ms * 1e6);
        return towards == null ? due : Math.max(towards.lastNs, due);
    }

    private void put(Side towards, Piece p) {
        if (towards == null) {
            if (p.end() != End.NONE) {
                reset(false);
            }
            return;
        }
        towards.due.add(p);
        towards.lastNs = p.dueNs();
        towards.bytes += p.bytes() == null ? 0 : p.bytes().remaining();
    }

    /** Passes on what is due, unless it is held. */
    void deliver() {
        if (other == null) {
            return;
        }
        if (!link.condition().holdsOut()) {
            deliver(other);
        }
        if (!link.condition().holdsBack()) {
            deliver(node);
        }
        node.interest();
        other.interest();
        if (node.readOut && other.readOut && node.due.isEmpty() && other.due.isEmpty()) {
            drop();
        }
    }

    private void deliver(Side s) {
        if (!s.channel.isConnected() && s.key.isValid()) {
            return;
        }
        long now = System.nanoTime();
        while (!s.due.isEmpty() && !s.blocked && s.due.peek().dueNs() <= now) {
            Piece p = s.due.peek();
            try {
                if (p.bytes() != null) {
                    s.bytes -= s.channel.write(p.bytes());
                    s.blocked = p.bytes().hasRemaining();
                    if (s.blocked) {
                        return;
                    }
                    relays.late(now - Math.max(p.dueNs(), link.changedNs()));
                } else if (p.end() == End.FINISHED) {
                    s.channel.shutdownOutput();
                    if (s == node) {
                        // The end of the flow as the node knows it.
                        over();
                    }
                } else {
                    reset(false);
                    return;
                }
            } catch (IOException e) {
                // Whoever was to read it has gone: what it still sends is of no use to anybody either.
                reset(false);
                return;
            }
            s.due.poll();
        }
    }

    private void hearFirst(ByteBuffer in) {
        if (toldFirst || link.ear() == null) {
            return;
        }
        first.append(StandardCharsets.ISO_8859_1.decode(in));
        int end = first.indexOf("\n");
        if (end >= 0 || first.length() > LINE_BYTES) {
            toldFirst = true;
            String line = end >= 0 ? first.substring(0, end).strip() : "";
            first.setLength(0);
            firstRound = relays.round();
            relays.tellFirst(number, false, () -> link.ear().first(this, line));
        }
    }

    private void over() {
        if (!toldOver && link.ear() != null) {
            toldOver = true;
            Runnable what = () -> link.ear().over(this);
            if (firstRound == relays.round()) {
                relays.tellFirst(number, true, what);
            } else {
                relays.tellEnd(what);
            }
        }
    }

    /** Breaks both sides; {@code midLine} lets half of what is owed to each through before. */
    void reset(boolean midLine) {
        for (Side s : new Side[] {node, other}) {
            if (s == null) {
                continue;
            }
            try {
                if (midLine && !s.due.isEmpty() && s.due.peek().bytes() != null && s.channel.isConnected()) {
                    ByteBuffer half = s.due.peek().bytes();
                    s.channel.write(half.limit(half.position() + half.remaining() / 2));
                }
                s.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // It has ended by itself.
            }
        }
        over();
        drop();
    }

    private void drop() {
        for (Side s : new Side[] {node, other}) {
            if (s != null) {
                s.key.cancel();
                try {
                    s.channel.close();
                } catch (IOException e) {
                    // Nothing is left to be closed.
                }
            }
        }
        link.ended(this);
    }
}

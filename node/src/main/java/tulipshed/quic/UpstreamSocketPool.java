package tulipshed.quic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.quic.QuicMetrics.Figure;
import tulipshed.transport.ProtocolErrorLog;
import tulipshed.transport.UdpSocket;
import tulipshed.transport.XnioEventLoop;

/** The node's UDP sockets towards members, each shared by one flow of every member; {@link UpstreamPortAllocator} says which. */
final class UpstreamSocketPool {
    /** How often opening a socket is tried in a row: a shortage of this machine may be over at the next try. */
    static final int OPEN_TRIES = 5;

    private final XnioEventLoop loop;
    private final InetAddress address;
    private final ByteBuffer scratch;
    private final QuicMetrics counted;
    private final ProtocolErrorLog openFailures;
    private final UpstreamPortAllocator slots;
    private SocketOpener opener;
    private final Map<Integer, Socket> sockets = new HashMap<>();

    /** Opens UDP sockets, as the event loop does. */
    interface SocketOpener {
        /** A socket at that address. */
        UdpSocket open(InetSocketAddress address, ByteBuffer scratch, UdpSocket.Receiver receiver) throws IOException;
    }

    /** One socket, and who hears what on it, by the member's address. */
    private final class Socket {
        private final Map<InetSocketAddress, Seat> seats = new HashMap<>();
        private final UdpSocket port;

        Socket() throws IOException {
            port = opener.open(new InetSocketAddress(address, 0), scratch, (from, datagram) -> {
                Seat seat = seats.get(from);
                if (seat == null) {
                    counted.count(Figure.DROPPED_STRAY);
                } else {
                    seat.heard.accept(datagram);
                }
            });
        }
    }

    /** One flow's place on a socket. */
    final class Seat {
        private final int slot;
        private final Socket socket;
        private final InetSocketAddress member;
        private final Consumer<byte[]> heard;
        private boolean left;

        private Seat(int slot, Socket socket, InetSocketAddress member, Consumer<byte[]> heard) {
            this.slot = slot;
            this.socket = socket;
            this.member = member;
            this.heard = heard;
        }

        /** Sends to the member. */
        void send(byte[] datagram) {
            if (!left) {
                socket.port.send(member, datagram);
            }
        }

        /** Nothing more is heard or sent here. */
        void leave(double nowMs) {
            if (!left) {
                left = true;
                socket.seats.remove(member, this);
                slots.leave(member, slot, nowMs);
            }
        }
    }

    UpstreamSocketPool(
            XnioEventLoop loop,
            InetAddress address,
            ByteBuffer scratch,
            QuicMetrics counted,
            Limits limits,
            NodeLog log) {
        this.loop = loop;
        this.address = address;
        this.scratch = scratch;
        this.counted = counted;
        openFailures = new ProtocolErrorLog("quic", "cannot open an upstream socket", limits, log);
        slots = new UpstreamPortAllocator(limits.quic().upstreamSocketReuseDelayMs());
        opener = loop::bindUdp;
    }

    /** Replaces what opens sockets; for tests. */
    void opener(SocketOpener replacement) {
        opener = replacement;
    }

    /** A place for one more flow to that member; null where this machine has no socket for it. */
    Seat seat(InetSocketAddress member, double nowMs, Consumer<byte[]> heard) {
        int slot = slots.take(member, nowMs, loop::hasCapacityForUpstream);
        if (slot < 0) {
            return null;
        }
        Socket socket = sockets.get(slot);
        if (socket == null) {
            socket = openSocket();
            if (socket == null) {
                slots.leave(member, slot, nowMs);
                return null;
            }
            sockets.put(slot, socket);
        }
        Seat seat = new Seat(slot, socket, member, heard);
        socket.seats.put(member, seat);
        return seat;
    }

    /** A new socket; null where none of a few tries in a row succeeds. */
    private Socket openSocket() {
        for (int tries = 0; tries < OPEN_TRIES; tries++) {
            try {
                return new Socket();
            } catch (IOException e) {
                openFailures.record(e.getMessage());
            }
        }
        return null;
    }

    /** Closes sockets that nobody needs, and logs what could not be opened. */
    void sweep(double nowMs) {
        openFailures.flush(nowMs);
        for (int slot : slots.close(nowMs)) {
            Socket s = sockets.remove(slot);
            if (s != null) {
                s.port.close();
            }
        }
    }

    /** Sockets open. */
    int count() {
        return sockets.size();
    }
}

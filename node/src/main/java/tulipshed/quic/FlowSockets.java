package tulipshed.quic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import tulipshed.logging.NodeLog;
import tulipshed.quic.QuicFigures.Figure;
import tulipshed.transport.UdpSocket;
import tulipshed.transport.XnioEventLoop;

/** The node's UDP sockets towards members, each shared by one flow of every member; {@link FlowSlots} says which. */
final class FlowSockets {
    private final XnioEventLoop loop;
    private final InetAddress address;
    private final ByteBuffer scratch;
    private final QuicFigures counted;
    private final Logger log;
    private final FlowSlots slots;
    private final Map<Integer, Socket> sockets = new HashMap<>();

    /** One socket, and who hears what on it, by the member's address. */
    private final class Socket {
        private final Map<InetSocketAddress, Seat> seats = new HashMap<>();
        private final UdpSocket port;

        Socket() throws IOException {
            port = loop.bindUdp(new InetSocketAddress(address, 0), scratch, (from, datagram) -> {
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

    FlowSockets(
            XnioEventLoop loop,
            InetAddress address,
            ByteBuffer scratch,
            QuicFigures counted,
            double quietMs,
            NodeLog log) {
        this.loop = loop;
        this.address = address;
        this.scratch = scratch;
        this.counted = counted;
        this.log = log.logger("quic");
        slots = new FlowSlots(quietMs);
    }

    /** A place for one more flow to that member; null where there is no descriptor for it. */
    Seat seat(InetSocketAddress member, double nowMs, Consumer<byte[]> heard) {
        int slot = slots.take(member, nowMs, loop::hasCapacityForUpstream);
        if (slot < 0) {
            return null;
        }
        Socket socket = sockets.get(slot);
        if (socket == null) {
            try {
                socket = new Socket();
            } catch (IOException e) {
                log.warn("cannot open an upstream socket: " + e.getMessage());
                slots.leave(member, slot, nowMs);
                return null;
            }
            sockets.put(slot, socket);
        }
        Seat seat = new Seat(slot, socket, member, heard);
        socket.seats.put(member, seat);
        return seat;
    }

    /** Closes sockets that nobody needs. */
    void sweep(double nowMs) {
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

package tulipshed.quic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.ServerIdGenerator;

/** A server for measurements: takes Initials, and sends every later datagram back to its client. */
final class QuicLabServer {
    private static final int OWN_ID = 1 + 3 + 8;
    private final DatagramChannel channel = DatagramChannel.open();
    private final ServerIdGenerator generator;
    private final Map<ConnectionId, byte[]> clients = new HashMap<>();
    private final Map<ConnectionId, byte[]> answers = new HashMap<>();

    QuicLabServer(int id) throws IOException {
        generator = new ServerIdGenerator(StandIns.NUMBERED, new byte[] {0, 0, (byte) id});
        channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, 4 << 20);
        channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread thread = new Thread(this::run);
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        try {
            return (InetSocketAddress) channel.getLocalAddress();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void run() {
        ByteBuffer in = ByteBuffer.allocateDirect(2048);
        ByteBuffer out = ByteBuffer.allocateDirect(2048);
        try {
            while (true) {
                in.clear();
                SocketAddress from = channel.receive(in);
                in.flip();
                out.clear();
                if ((in.get(0) & 0x80) != 0) {
                    out.put(initial(in));
                } else {
                    byte[] id = new byte[OWN_ID];
                    in.get(1, id);
                    byte[] client = clients.get(new ConnectionId(id));
                    if (client == null) {
                        continue;
                    }
                    out.put((byte) 0x40).put(client).put(in.position(1 + OWN_ID));
                }
                channel.send(out.flip(), from);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A client that repeats its first datagram hears the same again. */
    private byte[] initial(ByteBuffer in) {
        byte[] datagram = new byte[in.remaining()];
        in.get(datagram);
        Packet p = Packet.read(datagram, OWN_ID).get(0);
        return answers.computeIfAbsent(p.destination(), first -> {
            ConnectionId own = generator.connection().next();
            clients.put(own, p.source().bytes());
            return InitialKeys.server(Version.V1, first)
                    .seal(p.source(), own, 0, Arrays.copyOf(new byte[] {6, 0, 1, 2}, 100));
        });
    }
}

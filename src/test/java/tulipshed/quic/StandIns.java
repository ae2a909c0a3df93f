package tulipshed.quic;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in ends of QUIC on loopback: as much of the specification as a path without keys can see. */
final class StandIns {
    static final ServerIds IDS = new ServerIds(0, 3, 4, HexFormat.of().parseHex("8f95f09245765f80256934e50c66207f"));
    static final StatelessReset RESET = new StatelessReset("a key shared by all".getBytes());

    /** A small hello that names a server and a protocol. */
    static final byte[] HELLO = hello("slots.example", "slots", 40);

    private StandIns() { }

    /** A client hello with these words, padded by an extension of that many bytes. */
    static byte[] hello(String name, String alpn, int padding) {
        ByteBuffer ext = ByteBuffer.allocate(600 + padding);
        ext.putShort((short) 0x3a3a).putShort((short) padding).put(new byte[padding]);
        ext.putShort((short) 0).putShort((short) (name.length() + 5)).putShort((short) (name.length() + 3)).put((byte) 0)
                .putShort((short) name.length()).put(name.getBytes());
        ext.putShort((short) 16).putShort((short) (alpn.length() + 6)).putShort((short) (alpn.length() + 4))
                .put((byte) 2).put((byte) 0xFA).put((byte) 0xFA).put((byte) alpn.length()).put(alpn.getBytes());
        int body = 2 + 32 + 1 + 2 + 2 + 1 + 1 + 2 + ext.position();
        return ByteBuffer.allocate(4 + body).putInt(1 << 24 | body).putShort((short) 0x303).put(new byte[32]).put((byte) 0)
                .putShort((short) 2).putShort((short) 0x1301).put((byte) 1).put((byte) 0).putShort((short) ext.position())
                .put(ext.array(), 0, ext.position()).array();
    }

    /** A CRYPTO frame. */
    static byte[] crypto(int offset, byte[] bytes) {
        ByteBuffer out = ByteBuffer.allocate(5 + bytes.length).put((byte) 6);
        Packet.number(out, offset);
        Packet.number(out, bytes.length);
        return out.put(bytes).array();
    }

    private static byte[] receive(DatagramSocket socket, DatagramPacket into) throws IOException {
        socket.receive(into);
        return Arrays.copyOf(into.getData(), into.getLength());
    }

    private static DatagramSocket socket(int timeoutMs) throws IOException {
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket.setSoTimeout(timeoutMs);
        return socket;
    }

    /** A packet with a short header: destination id, then a number in place of what would be encrypted. */
    static byte[] shortPacket(ConnectionId destination, int number) {
        return ByteBuffer.allocate(1 + destination.length() + 4 + 32).put((byte) 0x40).put(destination.bytes())
                .putInt(number).array();
    }

    /** A server: takes Initials its own way, and answers every later packet with the same number. */
    static final class Server implements AutoCloseable {
        /** How it takes an Initial. */
        enum Manner { SERVES, REFUSES, FAILS, SILENT, RETRIES }

        final byte[] id;
        final DatagramSocket socket = socket(0);
        final List<Integer> numbers = new CopyOnWriteArrayList<>();
        final AtomicInteger initials = new AtomicInteger();
        final AtomicInteger firstAddresses = new AtomicInteger();
        volatile IdConfigurations ids = new IdConfigurations().with(IDS, java.util.Map.of());
        volatile Manner manner;
        /** The version that it chooses whatever the client began with, or null. */
        volatile Version answers;
        private InetSocketAddress lastFrom;
        private ConnectionId clientId;

        Server(int id, Manner manner) throws IOException {
            this.id = new byte[] {0, 0, (byte) id};
            this.manner = manner;
            Thread thread = new Thread(this::run);
            thread.setDaemon(true);
            thread.start();
        }

        InetSocketAddress address() {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }

        private void run() {
            DatagramPacket in = new DatagramPacket(new byte[2048], 2048);
            try {
                while (true) {
                    byte[] datagram = receive(socket, in);
                    Packet p = Packet.read(datagram, ids::length).get(0);
                    if (!in.getSocketAddress().equals(lastFrom)) {
                        lastFrom = (InetSocketAddress) in.getSocketAddress();
                        firstAddresses.incrementAndGet();
                    }
                    byte[] answer = p.type() == Packet.Type.INITIAL ? initial(p) : later(p, datagram);
                    if (answer != null) {
                        socket.send(new DatagramPacket(answer, answer.length, lastFrom));
                    }
                }
            } catch (IOException closed) {
                return;
            }
        }

        private byte[] initial(Packet p) {
            InitialFrames.read(InitialKeys.client(Version.of(p.version()), p.destination()).open(p));
            initials.incrementAndGet();
            clientId = p.source();
            ConnectionId own = IDS.id(id, p.destination().bytes());
            if (manner == Manner.RETRIES && initials.get() == 1) {
                return ByteBuffer.allocate(1 + 4 + 2 + clientId.length() + own.length() + 5 + 16).put((byte) 0xF0)
                        .putInt(1).put((byte) clientId.length()).put(clientId.bytes()).put((byte) own.length())
                        .put(own.bytes()).array();
            }
            byte[] frames = switch (manner) {
                case SERVES, RETRIES -> Arrays.copyOf(new byte[] {6, 0, 1, 2}, 100);
                case REFUSES -> InitialFrames.close(InitialFrames.CONNECTION_REFUSED, "full");
                case FAILS -> InitialFrames.close(0x128, "no");
                case SILENT -> null;
            };
            return frames == null ? null : InitialKeys.server(answers == null ? Version.of(p.version()) : answers, p.destination()).seal(clientId, own, 0, frames);
        }

        private byte[] later(Packet p, byte[] datagram) {
            int number = ByteBuffer.wrap(datagram, p.packetNumberAt(), 4).getInt();
            numbers.add(number);
            return clientId == null ? null : shortPacket(clientId, number);
        }

        @Override
        public void close() {
            socket.close();
        }
    }

    /** A client that can change its port at any time. */
    static final class Client implements AutoCloseable {
        /** What it hears: served, a number in return, a close with its code, a reset, or nothing. */
        record Heard(String what, int figure) { }

        final ConnectionId own = new ConnectionId(new byte[] {9, 9, 9, 9});
        ConnectionId first;
        Version version = Version.V1;
        byte[] token = {};
        ConnectionId server;
        private final InetSocketAddress node;
        private DatagramSocket socket = socket(3000);

        Client(InetSocketAddress node, int seed) throws IOException {
            this.node = node;
            first = new ConnectionId(ByteBuffer.allocate(8).putInt(seed).putInt(77).array());
        }

        void rebind() throws IOException {
            socket.close();
            socket = socket(3000);
        }

        byte[] initial() {
            return InitialKeys.client(version, first).seal(first, own, token, 0, Arrays.copyOf(crypto(0, HELLO), 1160));
        }

        void send(byte[] datagram) throws IOException {
            socket.send(new DatagramPacket(datagram, datagram.length, node));
        }

        void sendNumber(int number) throws IOException {
            send(shortPacket(server, number));
        }

        Heard hear() throws IOException {
            byte[] datagram;
            try {
                datagram = receive(socket, new DatagramPacket(new byte[2048], 2048));
            } catch (java.net.SocketTimeoutException e) {
                return new Heard("nothing", 0);
            }
            if (server != null && datagram.length >= 21 && Arrays.equals(RESET.token(server),
                    Arrays.copyOfRange(datagram, datagram.length - StatelessReset.TOKEN, datagram.length))) {
                return new Heard("reset", 0);
            }
            Packet p = Packet.read(datagram, own.length()).get(0);
            if (p.type() == Packet.Type.SHORT) {
                return new Heard("number", ByteBuffer.wrap(datagram, p.packetNumberAt(), 4).getInt());
            }
            if (p.type() == Packet.Type.RETRY) {
                first = p.source();
                token = Arrays.copyOfRange(datagram, p.packetNumberAt(), datagram.length - 16);
            }
            if (p.type() != Packet.Type.INITIAL) {
                return new Heard(p.type().name(), 0);
            }
            InitialFrames frames = InitialFrames.read(InitialKeys.server(Version.of(p.version()), first).open(p));
            if (frames.closes()) {
                return new Heard("closed", (int) frames.closeCode());
            }
            server = p.source();
            return new Heard("served", 0);
        }

        @Override
        public void close() {
            socket.close();
        }
    }
}

package tulipshed.quic;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.ServerIdGenerator;
import tulipshed.connectionid.ServerIds;
import tulipshed.connectionid.StatelessReset;

/** Stand-in ends of QUIC on loopback: as much of the specification as a path without keys can see. */
final class StandIns {
    static final ServerIds IDS = new ServerIds(0, 3, 4, HexFormat.of().parseHex("8f95f09245765f80256934e50c66207f"));
    /** The same servers, numbering their connections. */
    static final ServerIds NUMBERED =
            new ServerIds(2, 3, 8, 4, HexFormat.of().parseHex("00112233445566778899aabbccddeeff"));
    /** Numbers from here on are probes of a path. */
    static final int PROBE = 1_000_000;

    static final StatelessReset RESET = new StatelessReset("a key shared by all".getBytes(UTF_8));

    /** A small hello that names a server and a protocol. */
    static final byte[] HELLO = hello("slots.example", "slots", 40);

    private StandIns() {}

    /** A client hello with these words, padded by an extension of that many bytes. */
    static byte[] hello(String name, String alpn, int padding) {
        ByteBuffer ext = ByteBuffer.allocate(600 + padding);
        ext.putShort((short) 0x3a3a).putShort((short) padding).put(new byte[padding]);
        ext.putShort((short) 0)
                .putShort((short) (name.length() + 5))
                .putShort((short) (name.length() + 3))
                .put((byte) 0)
                .putShort((short) name.length())
                .put(name.getBytes(UTF_8));
        ext.putShort((short) 16)
                .putShort((short) (alpn.length() + 6))
                .putShort((short) (alpn.length() + 4))
                .put((byte) 2)
                .put((byte) 0xFA)
                .put((byte) 0xFA)
                .put((byte) alpn.length())
                .put(alpn.getBytes(UTF_8));
        int body = 2 + 32 + 1 + 2 + 2 + 1 + 1 + 2 + ext.position();
        return ByteBuffer.allocate(4 + body)
                .putInt(1 << 24 | body)
                .putShort((short) 0x303)
                .put(new byte[32])
                .put((byte) 0)
                .putShort((short) 2)
                .putShort((short) 0x1301)
                .put((byte) 1)
                .put((byte) 0)
                .putShort((short) ext.position())
                .put(ext.array(), 0, ext.position())
                .array();
    }

    /** A CRYPTO frame. */
    static byte[] crypto(int offset, byte[] bytes) {
        ByteBuffer out = ByteBuffer.allocate(5 + bytes.length).put((byte) 6);
        VariableLengthInteger.writeTwoBytes(out, offset);
        VariableLengthInteger.writeTwoBytes(out, bytes.length);
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
        return ByteBuffer.allocate(1 + destination.length() + 4 + 32)
                .put((byte) 0x40)
                .put(destination.bytes())
                .putInt(number)
                .array();
    }

    /** A server: takes Initials its own way, and answers every later packet with the same number. */
    static final class Server implements AutoCloseable {
        /** How it takes an Initial. */
        enum Manner {
            SERVES,
            REFUSES,
            FAILS,
            SILENT,
            RETRIES
        }

        /** One connection: its client's id, where it was last heard, and how the server makes its ids. */
        static final class Conn {
            final ConnectionId clientId;
            final ServerIdGenerator.Connection ids;
            volatile SocketAddress active;

            Conn(ConnectionId clientId, ServerIdGenerator.Connection ids) {
                this.clientId = clientId;
                this.ids = ids;
            }
        }

        final byte[] id;
        final DatagramSocket socket;
        final List<Integer> numbers = new CopyOnWriteArrayList<>();
        final AtomicInteger initials = new AtomicInteger();
        /** All addresses from which it was ever sent something. */
        final Set<SocketAddress> addresses = ConcurrentHashMap.newKeySet();

        final Map<ConnectionId, Conn> conns = new ConcurrentHashMap<>();
        volatile ConnectionIdConfigurations ids =
                new ConnectionIdConfigurations().with(IDS, Map.of()).with(NUMBERED, Map.of());
        volatile Manner manner;
        /** The version that it chooses whatever the client began with, or null. */
        volatile Version answers;
        /** Numbers its connections where this is set. */
        volatile ServerIdGenerator generator;
        /** How long it was after a drain was told that something still came; kept by whoever tells of the drain. */
        volatile long drainedNs;

        volatile long latestNs;
        /** Whether what it does not know stays without an answer. */
        volatile boolean forgets;
        /** How many Initials had come before the last number. */
        volatile int initialsBefore;

        private volatile Conn last;

        Server(int id, Manner manner) throws IOException {
            this(id, manner, socket(0));
        }

        /** One that comes back at the address of another, and knows nothing of what was there. */
        Server(int id, Manner manner, DatagramSocket socket) {
            this.id = new byte[] {0, 0, (byte) id};
            this.manner = manner;
            this.socket = socket;
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
                    latestNs = drainedNs == 0 ? 0 : System.nanoTime() - drainedNs;
                    SocketAddress from = in.getSocketAddress();
                    Packet p = Packet.read(datagram, ids::length).get(0);
                    addresses.add(from);
                    byte[] answer = p.type() == Packet.Type.INITIAL ? initial(p, from) : later(p, datagram, from);
                    if (answer != null) {
                        socket.send(new DatagramPacket(answer, answer.length, from));
                    }
                }
            } catch (IOException closed) {
                return;
            }
        }

        private byte[] initial(Packet p, SocketAddress from) {
            InitialFrames.read(
                    InitialKeys.client(Version.of(p.version()), p.destination()).open(p));
            initials.incrementAndGet();
            ServerIdGenerator.Connection numbered = generator == null ? null : generator.connection();
            ConnectionId own = numbered != null
                    ? numbered.next()
                    : IDS.id(id, Arrays.copyOf(p.destination().bytes(), 4));
            if (manner == Manner.RETRIES && initials.get() == 1) {
                return ByteBuffer.allocate(1 + 4 + 2 + p.source().length() + own.length() + 5 + 16)
                        .put((byte) 0xF0)
                        .putInt(1)
                        .put((byte) p.source().length())
                        .put(p.source().bytes())
                        .put((byte) own.length())
                        .put(own.bytes())
                        .array();
            }
            last = new Conn(p.source(), numbered);
            last.active = from;
            conns.put(own, last);
            byte[] frames = switch (manner) {
                case SERVES, RETRIES -> Arrays.copyOf(new byte[] {6, 0, 1, 2}, 100);
                case REFUSES -> InitialFrames.close(InitialFrames.CONNECTION_REFUSED, "full");
                case FAILS -> InitialFrames.close(0x128, "no");
                case SILENT -> null;
            };
            return frames == null
                    ? null
                    : InitialKeys.server(answers == null ? Version.of(p.version()) : answers, p.destination())
                            .seal(p.source(), own, 0, frames);
        }

        private Conn conn(ConnectionId of) {
            ServerIds.Lead lead = NUMBERED.read(of);
            return lead == null
                    ? conns.getOrDefault(of, forgets ? null : last)
                    : conns.values().stream()
                            .filter(c -> c.ids != null && c.ids.number() == lead.connection())
                            .findFirst()
                            .orElse(null);
        }

        /** Answers on the path by which it was asked; only what is no probe moves the connection to another. */
        private byte[] later(Packet p, byte[] datagram, SocketAddress from) {
            int number = ByteBuffer.wrap(datagram, p.packetNumberOffset(), 4).getInt();
            numbers.add(number);
            initialsBefore = initials.get();
            Conn conn = conn(p.destination());
            if (conn == null) {
                return manner == Manner.SERVES
                        ? RESET.datagram(p.destination(), datagram.length, new Random(number))
                        : null;
            }
            if (number < PROBE) {
                conn.active = from;
            }
            return shortPacket(conn.clientId, number);
        }

        /** Sends by itself, where the client last was by what was no probe. */
        void push(Conn conn, int number) throws IOException {
            byte[] datagram = shortPacket(conn.clientId, number);
            socket.send(new DatagramPacket(datagram, datagram.length, conn.active));
        }

        @Override
        public void close() {
            socket.close();
        }
    }

    /** A client that can change its port at any time. */
    static final class Client implements AutoCloseable {
        /** What it hears: served, a number in return, a close with its code, a reset, or nothing. */
        record Heard(String what, int figure) {}

        final ConnectionId own;
        ConnectionId first;
        Version version = Version.V1;
        byte[] token = {};
        ConnectionId server;
        InetSocketAddress node;
        /** Where the last datagram came from. */
        SocketAddress from;

        byte[] heard;
        int heardBytes;
        DatagramSocket socket = socket(3000);

        Client(InetSocketAddress node, int seed) throws IOException {
            this(node, seed, ByteBuffer.allocate(4).putInt(seed).array());
        }

        /** One whose own id has these bytes; many clients have an empty one. */
        Client(InetSocketAddress node, int seed, byte[] own) throws IOException {
            this.node = node;
            this.own = new ConnectionId(own);
            first = new ConnectionId(
                    ByteBuffer.allocate(8).putInt(seed).putInt(77).array());
        }

        void rebind() throws IOException {
            socket.close();
            socket = socket(3000);
        }

        byte[] initial() {
            return InitialKeys.client(version, first).seal(first, own, token, 0, Arrays.copyOf(crypto(0, HELLO), 1180));
        }

        void send(byte[] datagram) throws IOException {
            socket.send(new DatagramPacket(datagram, datagram.length, node));
        }

        void sendNumber(int number) throws IOException {
            send(shortPacket(server, number));
        }

        /** Leaves out what has come. */
        void drain() throws IOException {
            socket.setSoTimeout(20);
            while (!hear().what().equals("nothing")) {
                // Left out.
            }
            socket.setSoTimeout(3000);
        }

        Heard hear() throws IOException {
            byte[] datagram;
            try {
                DatagramPacket in = new DatagramPacket(new byte[2048], 2048);
                datagram = receive(socket, in);
                from = in.getSocketAddress();
                heard = datagram;
                heardBytes = datagram.length;
            } catch (java.net.SocketTimeoutException e) {
                return new Heard("nothing", 0);
            }
            if (server != null
                    && datagram.length >= 21
                    && Arrays.equals(
                            RESET.token(server),
                            Arrays.copyOfRange(datagram, datagram.length - StatelessReset.TOKEN, datagram.length))) {
                return new Heard("reset", 0);
            }
            Packet p = Packet.read(datagram, own.length()).get(0);
            if (p.type() == Packet.Type.SHORT) {
                return new Heard(
                        "number",
                        ByteBuffer.wrap(datagram, p.packetNumberOffset(), 4).getInt());
            }
            if (p.type() == Packet.Type.RETRY) {
                first = p.source();
                token = Arrays.copyOfRange(datagram, p.packetNumberOffset(), datagram.length - 16);
            }
            if (p.type() != Packet.Type.INITIAL) {
                return new Heard(p.type().name(), 0);
            }
            InitialFrames frames = InitialFrames.read(
                    InitialKeys.server(Version.of(p.version()), first).open(p));
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

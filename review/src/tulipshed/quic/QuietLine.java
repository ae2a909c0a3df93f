package tulipshed.quic;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import review.Case;
import review.Discovery;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.ServerIds;
import tulipshed.connectionid.StatelessReset;

/**
 * QUIC clients ask for a list, acknowledge it, say nothing for a while, and then book. Does the connection still stand?
 *
 * <p>The ends are as much of RFC 9000 as a path without keys can see: real Initials, then packets with short headers
 * whose content stands for what would be encrypted. They keep what RFC 9000 says of acknowledgements: an end
 * acknowledges every second packet that asks for it (section 13.2.2) and never a packet that only acknowledges
 * (section 13.2.1).
 */
public final class QuietLine {
    private static final int CLIENTS = 5;
    /** Clients come one after another, so that none is turned away by its tenant's rate. */
    private static final long APART_MS = 1_000;
    /** The packets of a list: an initial congestion window (RFC 9002 section 7.2). */
    private static final int LIST_PACKETS = 10;
    private static final int PACKET_BYTES = 1_200;
    /** One way between a client and the node, as of a desk that is not on the node's own machine. */
    private static final long LINK_MS = 20;
    private static final long QUIET_MS = 4_000;
    private static final long KEEP_ALIVE_MS = 1_000;
    private static final long ANSWER_MS = 2_000;

    private static final byte ASK = 1;
    private static final byte LIST = 2;
    private static final byte ACK = 3;
    private static final byte PING = 4;
    private static final byte BOOK = 5;
    private static final byte BOOKED = 6;
    private static final String[] KINDS = {"", "ASK", "LIST", "ACK", "PING", "BOOK", "BOOKED"};

    private static final String ID_KEY = "00112233445566778899aabbccddeeff";
    private static final String RESET_KEY = "000102030405060708090a0b0c0d0e0f";
    private static final ServerIds IDS = new ServerIds(0, 3, 4, HexFormat.of().parseHex(ID_KEY));
    private static final StatelessReset RESET = new StatelessReset(HexFormat.of().parseHex(RESET_KEY));

    private QuietLine() {}

    public static void main(String[] arguments) {
        Case.main(arguments, QuietLine::play);
    }

    private static void play(Case of) throws Exception {
        Server server = new Server(of);
        Discovery discovery = new Discovery(of);
        discovery.publish("s-1", server.socket.getLocalPort(), "std-2c", "SERVING");
        int port = Case.freeTcpPort();
        int quicPort = Case.freeUdpPort();
        Files.writeString(
                of.work.resolve("deploy/tulipshed.sexp"),
                "(quic (listen \"127.0.0.1:" + quicPort + "\") (class \"slot-booking\") (tenant \"melnik-terminal\")"
                        + " (deadline-ms 3000) (reset-key \"" + RESET_KEY + "\")"
                        + " (ids (configuration 0) (server-id-bytes 3) (nonce-bytes 4) (key \"" + ID_KEY + "\")"
                        + " (servers (\"s-1\" \"000001\"))))\n");
        of.startNode(of.config(port, discovery.port(), discovery.version(), discovery.servers()), port);
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(of, i, quicPort);
            clients.add(client);
            threads.add(Case.daemon(client::play));
            Case.sleep(APART_MS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        for (Client client : clients) {
            if (client.server == null || client.listed < LIST_PACKETS) {
                throw new Case.Result(2, client.name + " was not served its list");
            }
        }
        long reset = clients.stream().filter(client -> client.isReset).count();
        long lost = clients.stream().filter(client -> !client.isBooked).count();
        long unseen = clients.stream().filter(c -> !server.booked.contains(c.number)).count();
        throw new Case.Result(
                reset + lost > 0 ? 1 : 0,
                String.format(
                        "of %d connections whose server answers, %d were reset by the node; %d bookings had no answer,"
                                + " %d of them never reached the server",
                        CLIENTS, reset, lost, unseen));
    }

    private static byte[] packet(ConnectionId destination, byte kind, int number, int bytes) {
        ByteBuffer out = ByteBuffer.allocate(Math.max(bytes, 1 + destination.length() + 5 + 20));
        return out.put((byte) 0x40).put(destination.bytes()).put(kind).putInt(number).array();
    }

    private static byte[] receive(DatagramSocket socket, DatagramPacket into) throws IOException {
        into.setLength(into.getData().length);
        socket.receive(into);
        return Arrays.copyOf(into.getData(), into.getLength());
    }

    /** A server that never hangs: it answers all that is owed an answer at once. */
    private static final class Server {
        final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        final Set<Integer> booked = ConcurrentHashMap.newKeySet();
        private final Case of;
        private final Map<ConnectionId, ConnectionId> clientIds = new ConcurrentHashMap<>();

        Server(Case of) throws IOException {
            this.of = of;
            Case.daemon(() -> {
                DatagramPacket in = new DatagramPacket(new byte[2048], 2048);
                try {
                    while (true) {
                        handle(receive(socket, in), in.getSocketAddress());
                    }
                } catch (IOException e) {
                    of.log("s-1 ended: " + e);
                }
            });
        }

        private void handle(byte[] datagram, SocketAddress from) throws IOException {
            Packet packet = Packet.read(datagram, IDS.idLength()).get(0);
            if (packet.type() == Packet.Type.INITIAL) {
                InitialKeys.client(Version.V1, packet.destination()).open(packet);
                ConnectionId own = IDS.id(new byte[] {0, 0, 1}, Arrays.copyOf(packet.destination().bytes(), 4));
                clientIds.put(own, packet.source());
                of.log("s-1 reads an Initial and answers it");
                byte[] hello = Arrays.copyOf(new byte[] {6, 0, 1, 2}, 100);
                send(InitialKeys.server(Version.V1, packet.destination()).seal(packet.source(), own, 0, hello), from);
                return;
            }
            ConnectionId client = clientIds.get(packet.destination());
            if (client == null) {
                of.log("s-1 reads a packet of a connection that it does not know");
                return;
            }
            byte kind = datagram[packet.packetNumberOffset()];
            int number = ByteBuffer.wrap(datagram, packet.packetNumberOffset() + 1, 4).getInt();
            of.log("s-1 reads " + KINDS[kind] + " " + number);
            switch (kind) {
                case ASK -> {
                    for (int i = 0; i < LIST_PACKETS; i++) {
                        send(packet(client, LIST, i, PACKET_BYTES), from);
                    }
                }
                case PING -> send(packet(client, ACK, number, 0), from);
                case BOOK -> {
                    booked.add(number);
                    send(packet(client, BOOKED, number, 0), from);
                }
                default -> {}
            }
        }

        private void send(byte[] datagram, SocketAddress to) throws IOException {
            socket.send(new DatagramPacket(datagram, datagram.length, to));
        }
    }

    /** A client behind a link. */
    private static final class Client {
        final int number;
        final String name;
        volatile ConnectionId server;
        volatile int listed;
        volatile boolean isBooked;
        volatile boolean isReset;
        private final Case of;
        private final InetSocketAddress node;
        private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        private final ScheduledExecutorService link = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        private final ConnectionId own;
        private final ConnectionId first;
        private int unacknowledged;

        Client(Case of, int number, int quicPort) throws IOException {
            this.of = of;
            this.number = number;
            name = "client " + number;
            node = new InetSocketAddress(InetAddress.getLoopbackAddress(), quicPort);
            own = new ConnectionId(ByteBuffer.allocate(4).putInt(100 + number).array());
            first = new ConnectionId(
                    ByteBuffer.allocate(8).putInt(100 + number).putInt(77).array());
            Case.daemon(() -> {
                DatagramPacket in = new DatagramPacket(new byte[2048], 2048);
                try {
                    while (true) {
                        byte[] datagram = receive(socket, in);
                        link.schedule(() -> guarded(datagram), LINK_MS, TimeUnit.MILLISECONDS);
                    }
                } catch (IOException e) {
                    of.log(name + " ended: " + e);
                }
            });
        }

        private void guarded(byte[] datagram) {
            try {
                handle(datagram);
            } catch (RuntimeException e) {
                of.log(name + " cannot read a datagram: " + e);
            }
        }

        private void handle(byte[] datagram) {
            if (server != null
                    && Arrays.equals(
                            RESET.token(server),
                            Arrays.copyOfRange(datagram, datagram.length - StatelessReset.TOKEN, datagram.length))) {
                isReset = true;
                of.log(name + " reads a stateless reset");
                return;
            }
            Packet packet = Packet.read(datagram, own.length()).get(0);
            if (packet.type() == Packet.Type.INITIAL) {
                server = packet.source();
                of.log(name + " reads the server's Initial");
                return;
            }
            if (packet.type() != Packet.Type.SHORT) {
                of.log(name + " reads " + packet.type());
                return;
            }
            byte kind = datagram[packet.packetNumberOffset()];
            of.log(name + " reads " + KINDS[kind]);
            if (kind == BOOKED) {
                isBooked = true;
            }
            if (kind == LIST) {
                listed++;
                unacknowledged++;
                if (unacknowledged == 2) {
                    unacknowledged = 0;
                    send(packet(server, ACK, listed, 0), "ACK");
                }
            }
        }

        private void send(byte[] datagram, String what) {
            of.log(name + " sends " + what);
            link.schedule(
                    () -> {
                        try {
                            socket.send(new DatagramPacket(datagram, datagram.length, node));
                        } catch (IOException e) {
                            of.log(name + " cannot send: " + e);
                        }
                    },
                    LINK_MS,
                    TimeUnit.MILLISECONDS);
        }

        void play() {
            send(
                    InitialKeys.client(Version.V1, first)
                            .seal(first, own, new byte[0], 0, Arrays.copyOf(crypto(hello()), 1180)),
                    "an Initial");
            await(3_000, () -> server != null);
            if (server == null) {
                return;
            }
            send(packet(server, ASK, number, 0), "ASK");
            await(3_000, () -> listed >= LIST_PACKETS);
            for (long quietMs = 0; quietMs < QUIET_MS; quietMs += KEEP_ALIVE_MS) {
                Case.sleep(KEEP_ALIVE_MS);
                if (!of.trouble) {
                    send(packet(server, PING, (int) quietMs, 0), "PING");
                }
            }
            send(packet(server, BOOK, number, 0), "BOOK");
            await(ANSWER_MS, () -> isBooked);
            of.log(name + (isBooked ? " has its booking" : " has no answer to its booking"));
        }

        private static void await(long ms, java.util.function.BooleanSupplier condition) {
            for (long i = 0; i < ms && !condition.getAsBoolean(); i += 10) {
                Case.sleep(10);
            }
        }
    }

    private static byte[] crypto(byte[] bytes) {
        return ByteBuffer.allocate(4 + bytes.length)
                .put((byte) 6)
                .put((byte) 0)
                .putShort((short) (0x4000 | bytes.length))
                .put(bytes)
                .array();
    }

    /** A client hello that names the server slots.example. */
    private static byte[] hello() {
        byte[] name = "slots.example".getBytes(US_ASCII);
        ByteBuffer names = ByteBuffer.allocate(9 + name.length);
        names.putShort((short) 0)
                .putShort((short) (name.length + 5))
                .putShort((short) (name.length + 3))
                .put((byte) 0)
                .putShort((short) name.length)
                .put(name);
        int body = 2 + 32 + 1 + 4 + 2 + 2 + names.position();
        return ByteBuffer.allocate(4 + body)
                .putInt(1 << 24 | body)
                .putShort((short) 0x303)
                .put(new byte[32])
                .put((byte) 0)
                .putShort((short) 2)
                .putShort((short) 0x1301)
                .put((byte) 1)
                .put((byte) 0)
                .putShort((short) names.position())
                .put(names.array())
                .array();
    }
}

package tulipshed.quic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.HdrHistogram.Histogram;
import tulipshed.connectionid.ConnectionId;

/** Clients for measurements, on a few threads that never wait. */
final class QuicLabLoad implements AutoCloseable {
    private static final int THREADS = 2;
    private static final double RETRY_OPEN_S = 0.5;
    private static int seeds = 1;

    /** What came of a phase. */
    record Result(long sent, long answered, double seconds) {
        long lost() {
            return sent - answered;
        }
    }

    /** One client connection. */
    private static final class Connection {
        private final DatagramChannel channel;
        private final ConnectionId own;
        private ConnectionId first;
        private byte[] token = {};
        private byte[] server;
        private int outstanding;
        private int again = 99;
        private long heardNs;

        Connection(InetSocketAddress to, int seed) throws IOException {
            channel = DatagramChannel.open();
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .connect(to);
            channel.configureBlocking(false);
            own = new ConnectionId(ByteBuffer.allocate(4).putInt(seed).array());
            first = new ConnectionId(
                    ByteBuffer.allocate(8).putInt(seed).putInt(99).array());
        }

        void sendInitial() throws IOException {
            channel.write(ByteBuffer.wrap(InitialKeys.client(Version.V1, first)
                    .seal(first, own, token, 0, Arrays.copyOf(StandIns.crypto(0, StandIns.HELLO), 1180))));
        }

        /** Whether it is served now. */
        boolean opened(ByteBuffer in) throws IOException {
            byte[] datagram = new byte[in.remaining()];
            in.get(datagram);
            Packet p = Packet.read(datagram, 4).get(0);
            if (p.type() == Packet.Type.RETRY) {
                first = p.source();
                token = Arrays.copyOfRange(datagram, p.packetNumberOffset(), datagram.length - 16);
                sendInitial();
            } else if (p.type() == Packet.Type.INITIAL && server == null) {
                if (InitialFrames.read(InitialKeys.server(Version.V1, first).open(p))
                        .closes()) {
                    // Turned away for now: it comes again as a new connection.
                    first = new ConnectionId(ByteBuffer.allocate(8)
                            .putInt(ByteBuffer.wrap(own.bytes()).getInt())
                            .putInt(++again)
                            .array());
                    token = new byte[0];
                } else {
                    server = p.source().bytes();
                }
            }
            return server != null;
        }
    }

    private final List<Connection> connections = new ArrayList<>();
    private final int size;
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

    QuicLabLoad(InetSocketAddress to, int count, int size) throws IOException {
        this.size = size;
        for (int i = 0; i < count; i++) {
            connections.add(new Connection(to, seeds++));
        }
    }

    private interface Part {
        Result run(List<Connection> mine) throws IOException;
    }

    private Result onThreads(Part part) throws InterruptedException, ExecutionException {
        List<Future<Result>> parts = new ArrayList<>();
        for (int t = 0; t < THREADS; t++) {
            List<Connection> mine = new ArrayList<>();
            for (int i = t; i < connections.size(); i += THREADS) {
                mine.add(connections.get(i));
            }
            parts.add(threads.submit(() -> part.run(mine)));
        }
        Result sum = new Result(0, 0, 0);
        for (Future<Result> f : parts) {
            Result r = f.get();
            sum = new Result(sum.sent + r.sent, sum.answered + r.answered, Math.max(sum.seconds, r.seconds));
        }
        return sum;
    }

    /** Opens all connections, fifty at a time on each thread; one that is refused or not heard asks again, for 30 s at most. */
    void open() throws InterruptedException, ExecutionException {
        Result r = onThreads(mine -> {
            ByteBuffer in = ByteBuffer.allocateDirect(2048);
            long untilNs = System.nanoTime() + 30_000_000_000L;
            int opened = 0;
            while (opened < mine.size() && System.nanoTime() < untilNs) {
                opened = 0;
                int asking = 0;
                for (Connection c : mine) {
                    opened += c.server != null ? 1 : 0;
                    if (c.server == null && asking < 50) {
                        asking++;
                        if (System.nanoTime() - c.heardNs > RETRY_OPEN_S * 1e9) {
                            c.heardNs = System.nanoTime();
                            c.sendInitial();
                        }
                        in.clear();
                        if (c.channel.read(in) > 0) {
                            in.flip();
                            c.opened(in);
                        }
                    }
                }
            }
            return new Result(mine.size(), opened, 0);
        });
        if (r.lost() > 0) {
            System.out.println(r.lost() + " of " + r.sent + " connections were not opened");
            connections.removeIf(c -> c.server == null);
        }
    }

    private void send(Connection c, ByteBuffer out, long stampNs) throws IOException {
        out.clear().put((byte) 0x40).put(c.server).putLong(stampNs).limit(size).position(0);
        c.channel.write(out);
        c.outstanding++;
    }

    /** Takes what has come; how many answers that were. */
    private static int take(Connection c, ByteBuffer in, Histogram h) throws IOException {
        int answers = 0;
        while (true) {
            in.clear();
            if (c.channel.read(in) <= 0) {
                return answers;
            }
            if ((in.get(0) & 0x80) == 0 && in.position() >= 13) {
                answers++;
                c.outstanding--;
                c.heardNs = System.nanoTime();
                if (h != null) {
                    h.recordValue(Math.max(0, c.heardNs - in.getLong(5)));
                }
            }
        }
    }

    /** Keeps so many datagrams under way on every connection; those without an answer for 200 ms are lost. */
    Result closedLoop(double seconds, int window) throws InterruptedException, ExecutionException {
        return onThreads(mine -> {
            ByteBuffer in = ByteBuffer.allocateDirect(2048);
            ByteBuffer out = ByteBuffer.allocateDirect(2048);
            long beganNs = System.nanoTime();
            long sent = 0;
            long answered = 0;
            mine.forEach(c -> c.heardNs = beganNs);
            while (System.nanoTime() - beganNs < seconds * 1e9) {
                for (Connection c : mine) {
                    answered += take(c, in, null);
                    if (c.outstanding > 0 && System.nanoTime() - c.heardNs > 200_000_000L) {
                        c.outstanding = 0;
                        c.heardNs = System.nanoTime();
                    }
                    for (; c.outstanding < window; sent++) {
                        send(c, out, 0);
                    }
                }
            }
            double took = (System.nanoTime() - beganNs) / 1e9;
            return new Result(sent, answered + rest(mine, in, null), took);
        });
    }

    /**
     * Sends so many a second over all connections, whether answers come or not; times count from when a datagram should have
     * been sent, so a load that falls behind shows.
     */
    Result openLoop(double seconds, int perSecond, Histogram h) throws InterruptedException, ExecutionException {
        return onThreads(mine -> {
            ByteBuffer in = ByteBuffer.allocateDirect(2048);
            ByteBuffer out = ByteBuffer.allocateDirect(2048);
            Histogram own = h == null ? null : new Histogram(h);
            double everyNs = 1e9 * THREADS / perSecond;
            long beganNs = System.nanoTime();
            long total = (long) (seconds * perSecond / THREADS);
            long sent = 0;
            long answered = 0;
            while (sent < total) {
                for (; sent < total && beganNs + sent * everyNs <= System.nanoTime(); sent++) {
                    send(mine.get((int) (sent % mine.size())), out, (long) (beganNs + sent * everyNs));
                }
                for (Connection c : mine) {
                    answered += c.outstanding > 0 ? take(c, in, own) : 0;
                }
            }
            double took = (System.nanoTime() - beganNs) / 1e9;
            answered += rest(mine, in, own);
            if (h != null) {
                synchronized (h) {
                    h.add(own);
                }
            }
            return new Result(sent, answered, took);
        });
    }

    /** What still comes within half a second. */
    private static long rest(List<Connection> mine, ByteBuffer in, Histogram h) throws IOException {
        long untilNs = System.nanoTime() + 500_000_000L;
        long answered = 0;
        while (System.nanoTime() < untilNs) {
            for (Connection c : mine) {
                answered += take(c, in, h);
            }
        }
        mine.forEach(c -> c.outstanding = 0);
        return answered;
    }

    @Override
    public void close() throws IOException {
        threads.shutdownNow();
        for (Connection c : connections) {
            c.channel.close();
        }
    }
}

package tulipshed.quic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import tulipshed.connectionid.ConnectionId;

/** A flood for measurements, from many addresses of this machine at a bounded rate. */
final class QuicLabFlood {
    private static final int ADDRESSES = 500;
    private static final int MADE = 20_000;

    /** What it is made of. */
    enum Kind {
        /** Sound first datagrams of ever new clients. */
        INITIALS,
        /** First datagrams whose keys are wrong. */
        SPOILT_INITIALS,
        /** Short headers with random ids. */
        RANDOM_IDS,
        /** Short headers with ids that lead to a server, and to no connection. */
        FORGED_IDS,
        /** One byte. */
        TINY,
        /** 1,500 bytes of chance. */
        HUGE,
        /** One sound first datagram, over and over. */
        REPLAYED
    }

    private final List<DatagramChannel> channels = new ArrayList<>();
    private final List<byte[]> datagrams = new ArrayList<>();
    private final Thread thread;
    private volatile boolean stopped;
    private long sent;

    QuicLabFlood(InetSocketAddress to, Kind kind, int perSecond) throws IOException {
        Random random = new Random(3);
        for (int i = 0; i < ADDRESSES; i++) {
            channels.add(DatagramChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
            channels.get(i).configureBlocking(false);
        }
        for (int i = 0; i < MADE; i++) {
            datagrams.add(make(kind, random, i));
        }
        thread = new Thread(() -> run(to, perSecond));
        thread.start();
    }

    private static byte[] make(Kind kind, Random random, int i) {
        byte[] noise = new byte[1500];
        random.nextBytes(noise);
        ConnectionId first = new ConnectionId(ByteBuffer.allocate(8)
                .putInt(kind == Kind.REPLAYED ? 1 : random.nextInt())
                .putInt(kind == Kind.REPLAYED ? 1 : i)
                .array());
        byte[] initial = InitialKeys.client(Version.V1, first)
                .seal(first, new ConnectionId(new byte[4]), 0, Arrays.copyOf(StandIns.crypto(0, StandIns.HELLO), 1180));
        return switch (kind) {
            case INITIALS, REPLAYED -> initial;
            case SPOILT_INITIALS -> {
                initial[700] ^= 1;
                yield initial;
            }
            case RANDOM_IDS -> StandIns.shortPacket(new ConnectionId(Arrays.copyOf(noise, 12)), i);
            case FORGED_IDS ->
                StandIns.shortPacket(
                        StandIns.NUMBERED.id(new byte[] {0, 0, (byte) (1 + i % 4)}, Arrays.copyOf(noise, 8)), i);
            case TINY -> new byte[] {noise[0]};
            case HUGE -> noise;
        };
    }

    private void run(InetSocketAddress to, int perSecond) {
        long beganNs = System.nanoTime();
        try {
            while (!stopped && sent < 60L * perSecond) {
                if (beganNs + sent * 1e9 / perSecond <= System.nanoTime()) {
                    channels.get((int) (sent % ADDRESSES))
                            .send(ByteBuffer.wrap(datagrams.get((int) (sent % MADE))), to);
                    sent++;
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends it; how many datagrams went out. */
    long stop() throws InterruptedException, IOException {
        stopped = true;
        thread.join();
        for (DatagramChannel c : channels) {
            c.close();
        }
        return sent;
    }
}

package tulipshed.quic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tulipshed.connectionid.ConnectionId;
import tulipshed.testing.InputFuzzer;

/** Client hellos in pieces, and the versions that carry them. */
class HelloTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final ConnectionId ID = new ConnectionId(HEX.parseHex("8394c8f03e515708"));
    private static final int MOST = 8192;

    /** The first values of RFC 9369, appendix A.1. */
    @Test
    void keysOfVersionTwoAreThoseOfTheSpecification() {
        InitialKeys client = InitialKeys.client(Version.V2, ID);
        assertEquals("8b1a0bc121284290a29e0971b5cd045d", HEX.formatHex(client.key()));
        assertEquals("91f73e2351d8fa91660e909f", HEX.formatHex(client.iv()));
        assertEquals("45b95e15235d6f45a6b19cbcb0294ba9", HEX.formatHex(client.headerKey()));
        InitialKeys server = InitialKeys.server(Version.V2, ID);
        assertEquals("82db637861d55e1d011f19ea71d5d2a7", HEX.formatHex(server.key()));
        assertEquals("dd13c276499c0249d3310652", HEX.formatHex(server.iv()));
        assertEquals("edf6d05c83121201b436e16877593c3a", HEX.formatHex(server.headerKey()));
    }

    /** RFC 9369 section 3.2: the kinds have other bits, so one version's Initial is another kind in the other. */
    @Test
    void theBitsOfVersionTwoMeanOtherKinds() {
        assertEquals(
                List.of(Packet.Type.RETRY, Packet.Type.INITIAL, Packet.Type.ZERO_RTT, Packet.Type.HANDSHAKE),
                List.of(Version.V2.type(0), Version.V2.type(1), Version.V2.type(2), Version.V2.type(3)));
        byte[] two = InitialKeys.client(Version.V2, ID).seal(ID, ID, 0, new byte[60]);
        Packet p = Packet.read(two, 8).get(0);
        assertEquals(Packet.Type.INITIAL, p.type());
        InitialKeys.client(Version.V2, ID).open(p);
        assertThrows(
                MalformedPacketException.class,
                () -> InitialKeys.client(Version.V1, ID).open(p),
                "other keys");
        byte[] changed = two.clone();
        System.arraycopy(new byte[] {0, 0, 0, 1}, 0, changed, 1, 4);
        assertFalse(Packet.read(changed, 8).get(0).type() == Packet.Type.INITIAL, "a changed version opens nothing");
    }

    /** Pieces of random places and lengths that together hold all of it, some more than once, in any order. */
    private static List<byte[]> pieces(byte[] hello, Random random) {
        List<byte[]> frames = new ArrayList<>();
        for (int from = 0; from < hello.length; ) {
            int to = Math.min(hello.length, from + 1 + random.nextInt(400));
            int back = Math.max(0, from - random.nextInt(50));
            frames.add(StandIns.crypto(back, Arrays.copyOfRange(hello, back, to)));
            if (random.nextInt(4) == 0) {
                frames.add(StandIns.crypto(back, Arrays.copyOfRange(hello, back, to)));
            }
            from = to;
        }
        Collections.shuffle(frames, random);
        return frames;
    }

    @Property(tries = 300, seed = "61")
    void aHelloIsTheSameHoweverItComes(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] hello = StandIns.hello("Slots-" + random.nextInt(99) + ".Example", "slots", random.nextInt(3000));
        ClientHello want = ClientHello.read(ByteBuffer.wrap(hello), MOST);
        assertTrue(
                want.serverName().startsWith("slots-") && want.alpn().equals("slots"),
                "in lower case; the greased one skipped");
        ClientHelloAssembler opening = new ClientHelloAssembler(ID, MOST);
        Version v = random.nextBoolean() ? Version.V1 : Version.V2;
        List<byte[]> frames = pieces(hello, random);
        for (int i = 0; i < frames.size(); i++) {
            ByteArrayOutputStream both = new ByteArrayOutputStream();
            both.writeBytes(random.nextBoolean() ? new byte[] {1, 0} : new byte[0]);
            both.writeBytes(frames.get(i));
            byte[] one = InitialKeys.client(v, ID)
                    .seal(ID, ID, i, Arrays.copyOf(both.toByteArray(), Math.max(60, both.size())));
            assertTrue(opening.addInitials(Packet.read(one, 8)));
        }
        assertEquals(want, opening.hello());
        assertEquals(v, opening.version());
    }

    @Property(tries = 600, seed = "62")
    void aHelloThatIsCutIsWaitedForAndASpoiltOneIsCalledBadOrRead(@ForAll long seed) {
        byte[] hello = StandIns.hello("slots.example", "slots", 60);
        assertNull(ClientHello.read(ByteBuffer.wrap(hello, 0, (int) Math.floorMod(seed, (long) hello.length)), MOST));
        try {
            ClientHello.read(ByteBuffer.wrap(InputFuzzer.corrupt(hello, seed)), MOST);
        } catch (MalformedPacketException expected) {
            assertFalse(expected.getMessage().isEmpty());
        }
    }

    @Test
    void whatIsHeldOfAHelloIsBounded() {
        CryptoStream stream = new CryptoStream(100);
        stream.add(90, ByteBuffer.allocate(10), 10);
        assertEquals(0, stream.contiguous().remaining(), "a gap at the front");
        assertThrows(MalformedPacketException.class, () -> stream.add(91, ByteBuffer.allocate(10), 10));
        assertThrows(MalformedPacketException.class, () -> stream.add(1L << 60, ByteBuffer.allocate(10), 10));
        assertThrows(
                MalformedPacketException.class,
                () -> stream.add(95, ByteBuffer.wrap(new byte[] {1}), 1),
                "other than what came before");
        assertThrows(
                MalformedPacketException.class,
                () -> ClientHello.read(ByteBuffer.wrap(new byte[] {1, 0, 0x40, 0}), MOST),
                "longer than allowed");
        assertThrows(
                MalformedPacketException.class,
                () -> ClientHello.read(ByteBuffer.wrap(new byte[] {2}), MOST),
                "not a client's");
    }
}

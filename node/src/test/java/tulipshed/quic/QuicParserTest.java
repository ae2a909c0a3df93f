package tulipshed.quic;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.ServerIds;
import tulipshed.connectionid.StatelessReset;
import tulipshed.testing.InputFuzzer;

class QuicParserTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final ConnectionId DESTINATION = new ConnectionId(HEX.parseHex("8394c8f03e515708"));
    private static final ConnectionId SOURCE = new ConnectionId(HEX.parseHex("0a0b0c"));

    /** The first values of RFC 9001, appendix A.1. */
    @Test
    void keysAreThoseOfTheSpecification() {
        InitialKeys client = InitialKeys.client(Version.V1, DESTINATION);
        assertEquals("1f369613dd76d5467730efcbe3b1a22d", HEX.formatHex(client.key()));
        assertEquals("fa044b2f42a3fd3b46fb255c", HEX.formatHex(client.iv()));
        assertEquals("9f50449e04a0e810283a1e9933adedd2", HEX.formatHex(client.headerKey()));
        InitialKeys server = InitialKeys.server(Version.V1, DESTINATION);
        assertEquals("cf3a5331653c364c88f0f379b6067e37", HEX.formatHex(server.key()));
        assertEquals("c206b8d9b9f0f37644430b490eeaa314", HEX.formatHex(server.headerKey()));
    }

    /** Vectors of the QUIC-LB draft: one pass where server id and nonce fill a block, else four. */
    @ParameterizedTest
    @CsvSource({
        "0, ed793a, ee080dbf, 0720b1d07b359d3c",
        "1, ed793a51d49b8f5fab65, ee080dbf48, 2fcc381bc74cb4fbad2823a3d1f8fed2",
        "2, ed793a51d49b8f5f, ee080dbf48c0d1e5, 504dd2d05a7b0de9b2b9907afb5ecf8cc3",
        "0, ed793a51d49b8f5fab, ee080dbf48c0d1e55d, 125779c9cc86beb3a3a4a3ca96fce4bfe0cdbc"
    })
    void idsAreThoseOfTheDraft(int configuration, String server, String nonce, String id) {
        byte[] key = HEX.parseHex("8f95f09245765f80256934e50c66207f");
        ServerIds ids = new ServerIds(configuration, server.length() / 2, nonce.length() / 2, key);
        assertEquals(id, ids.id(HEX.parseHex(server), HEX.parseHex(nonce)).toString());
        assertEquals(server, ids.read(new ConnectionId(HEX.parseHex(id))).server());
        assertNull(
                new ServerIds(configuration + 1, server.length() / 2, nonce.length() / 2, key)
                        .read(new ConnectionId(HEX.parseHex(id))),
                "an id of another configuration");
    }

    private static byte[] initial(byte[] frames) {
        return InitialKeys.client(Version.V1, DESTINATION).seal(DESTINATION, SOURCE, 7, Arrays.copyOf(frames, 200));
    }

    @Test
    void whatIsSealedOpensAndSaysTheSame() {
        byte[] close = InitialFrames.close(InitialFrames.CONNECTION_REFUSED, "busy");
        byte[] two = Arrays.copyOf(initial(close), 2 * initial(close).length);
        System.arraycopy(two, 0, two, two.length / 2, two.length / 2);
        List<Packet> packets = Packet.read(two, 8);
        assertEquals(2, packets.size());
        for (Packet p : packets) {
            assertEquals(DESTINATION, p.destination());
            assertEquals(SOURCE, p.source());
            InitialFrames frames = InitialFrames.read(
                    InitialKeys.client(Version.V1, DESTINATION).open(p));
            assertEquals(new InitialFrames(false, true, InitialFrames.CONNECTION_REFUSED), frames);
        }
    }

    @Property(tries = 400, seed = "31")
    void aSpoiltInitialNeverOpens(@ForAll long seed) {
        byte[] sound = initial(new byte[] {6, 0, 1, 1});
        byte[] spoilt = InputFuzzer.corrupt(sound, seed);
        assertFalse(Arrays.equals(sound, spoilt));
        assertThrows(MalformedPacketException.class, () -> {
            Packet p = Packet.read(spoilt, 8).get(0);
            if (p.type() != Packet.Type.INITIAL) {
                throw new MalformedPacketException(PacketDefect.NOT_QUIC);
            }
            InitialKeys.client(Version.V1, DESTINATION).open(p);
        });
    }

    @Property(tries = 1000, seed = "32")
    void garbageIsReadWithinItsBoundsOrCalledBad(@ForAll @Size(min = 1, max = 80) byte[] garbage) {
        try {
            for (Packet p : Packet.read(garbage, 8)) {
                assertTrue(p.end() <= garbage.length && p.start() < p.end());
                InitialFrames.read(Arrays.copyOfRange(garbage, p.start(), p.end()));
            }
        } catch (MalformedPacketException expected) {
            assertFalse(expected.getMessage().isEmpty());
        }
    }

    @Test
    void aResetEndsWithItsTokenAndIsShorterThanWhatItAnswers() {
        StatelessReset reset = new StatelessReset(new byte[16]);
        byte[] datagram = reset.datagram(DESTINATION, 30, new java.util.Random(1));
        assertEquals(29, datagram.length);
        assertEquals(0x40, datagram[0] & 0xC0);
        assertArrayEquals(reset.token(DESTINATION), Arrays.copyOfRange(datagram, 29 - 16, 29));
    }
}

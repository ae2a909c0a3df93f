package tulipshed.quic;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.ServerIds;
import tulipshed.testing.InputFuzzer;

/** Proof of addresses: tokens, Retry packets, and when they are asked for. */
class AddressTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final ConnectionId FIRST = new ConnectionId(HEX.parseHex("8394c8f03e515708"));
    private static final ConnectionId GIVEN = new ConnectionId(HEX.parseHex("f067a5502a4262b5"));
    private static final InetSocketAddress CLIENT = new InetSocketAddress("127.0.0.1", 4433);
    private final RetryTokens tokens = new RetryTokens(
            Map.of(1, new byte[16], 2, new byte[] {9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9}), 2, 10_000);

    /** RFC 9001 appendix A.4 and RFC 9369 appendix A.4. */
    @Test
    void retryPacketsAreThoseOfTheSpecifications() {
        ConnectionId none = new ConnectionId(new byte[0]);
        assertEquals(
                "ff000000010008f067a5502a4262b5746f6b656e04a265ba2eff4d829058fb3f0f2496ba",
                HEX.formatHex(RetryPacket.make(Version.V1, none, GIVEN, FIRST, "token".getBytes(UTF_8), 15)));
        assertEquals(
                "cf6b3343cf0008f067a5502a4262b5746f6b656ec8646ce8bfe33952d955543665dcc7b6",
                HEX.formatHex(RetryPacket.make(Version.V2, none, GIVEN, FIRST, "token".getBytes(UTF_8), 15)));
    }

    @Test
    void aTokenHoldsForItsAddressItsIdAndItsTime() {
        byte[] token = tokens.seal(CLIENT, FIRST, GIVEN, 1_000_000, new Random(1));
        assertEquals(FIRST, tokens.open(token, CLIENT, GIVEN, 1_009_999).first());
        assertNull(tokens.open(token, CLIENT, GIVEN, 1_010_001), "expired");
        assertNull(
                tokens.open(token, CLIENT, GIVEN, 900_000), "from a clock that is ahead by more than a token's life");
        assertNull(tokens.open(token, new InetSocketAddress("127.0.0.1", 4434), GIVEN, 1_000_001), "another port");
        assertNull(tokens.open(token, new InetSocketAddress("127.0.0.2", 4433), GIVEN, 1_000_001), "another address");
        assertNull(tokens.open(token, CLIENT, FIRST, 1_000_001), "another id");
        assertNull(
                new RetryTokens(Map.of(1, new byte[16]), 1, 10_000).open(token, CLIENT, GIVEN, 1_000_001),
                "no such key");
        RetryTokens rolled = new RetryTokens(
                Map.of(2, new byte[] {9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9}, 3, new byte[16]), 3, 10_000);
        assertNotNull(
                rolled.open(token, CLIENT, GIVEN, 1_000_001), "another node, which seals with the next key already");
    }

    @Property(tries = 500, seed = "71")
    void aForgedTokenIsAsNone(@ForAll long seed) {
        byte[] token = tokens.seal(CLIENT, FIRST, GIVEN, 1_000_000, new Random(seed));
        assertNull(tokens.open(InputFuzzer.corrupt(token, seed), CLIENT, GIVEN, 1_000_001));
    }

    /** A number that swings around a threshold must not make the front flap. */
    @Property(tries = 200, seed = "72")
    void proofIsAskedForInBlocks(@ForAll long seed) {
        Random random = new Random(seed);
        RetryPolicy policy = new RetryPolicy(60, 40, 1000);
        boolean asking = false;
        double now = 0;
        for (int i = 0; i < 2000; i++) {
            now += 10;
            int unproven = 50 + random.nextInt(19) - 9;
            asking = policy.asks(unproven, now);
        }
        assertTrue(!asking && policy.changes() == 0, "between the bounds nothing changes");
        for (int i = 0; i < 2000; i++) {
            now += 10;
            policy.asks(30 + random.nextInt(41), now);
        }
        assertTrue(
                policy.changes() >= 2 && policy.changes() <= 2 * 20 + 2,
                "at most once on and off a second: " + policy.changes());
    }

    /** QUIC-LB: the upper bits tell the configuration, and with it the length; unroutable ids tell theirs themselves. */
    @Test
    void configurationsAreToldApartByTheFirstByte() {
        ServerIds zero = new ServerIds(0, 3, 4, null);
        ServerIds six = new ServerIds(6, 8, 8, new byte[16]);
        IdConfigurations ids =
                new IdConfigurations().with(zero, Map.of("000001", "a")).with(six, Map.of("0000000000000001", "b"));
        ConnectionId a = zero.id(new byte[] {0, 0, 1}, new byte[4]);
        ConnectionId b = six.id(new byte[] {0, 0, 0, 0, 0, 0, 0, 1}, new byte[8]);
        assertEquals("a", ids.place(a).member());
        assertEquals("b", ids.place(b).member());
        assertEquals(8, ids.length(a.bytes()[0] & 0xFF));
        assertEquals(17, ids.length(b.bytes()[0] & 0xFF));
        assertEquals(10, ids.length(0xE0 | 9));
        assertEquals(5, ids.length(0x20 | 4), "a configuration that is not known");
        assertNull(ids.place(new ConnectionId(HEX.parseHex("e9000001000000000000"))));
        assertNull(ids.place(new ConnectionId(new byte[0])));
        byte[] shortPacket = StandIns.shortPacket(b, 1);
        assertArrayEquals(
                b.bytes(),
                Packet.read(shortPacket, ids::length).get(0).destination().bytes());
    }
}

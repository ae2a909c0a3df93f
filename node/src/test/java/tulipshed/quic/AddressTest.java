package tulipshed.quic;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.ServerIds;
import tulipshed.testing.InputFuzzer;
import tulipshed.time.WallClock;
import tulipshed.time.WallTime;

/** Address validation: tokens, Retry packets, and when a Retry is required. */
class AddressTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final ConnectionId FIRST = new ConnectionId(HEX.parseHex("8394c8f03e515708"));
    private static final ConnectionId GIVEN = new ConnectionId(HEX.parseHex("f067a5502a4262b5"));
    private static final InetSocketAddress CLIENT = new InetSocketAddress("127.0.0.1", 4433);
    private static final byte[] KEY = {9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9};
    private static final long LIFE_MS = 10_000;
    private static final long TOLERANCE_MS = 2 * 3_600_000;
    private static final long EPOCH_MS = 1_800_000_000_000L;
    private long wallMs = EPOCH_MS;
    private final RetryTokens tokens = node(() -> new WallTime(wallMs));

    private static RetryTokens node(WallClock wallClock) {
        return new RetryTokens(Map.of(1, new byte[16], 2, KEY), 2, LIFE_MS, TOLERANCE_MS, wallClock);
    }

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
        byte[] token = tokens.seal(CLIENT, FIRST, GIVEN, 1_000_000);
        assertEquals(FIRST, tokens.open(token, CLIENT, GIVEN, 1_009_999).originalDestinationId());
        assertNull(tokens.open(token, CLIENT, GIVEN, 1_010_001), "expired");
        assertNull(tokens.open(token, new InetSocketAddress("127.0.0.1", 4434), GIVEN, 1_000_001), "another port");
        assertNull(tokens.open(token, new InetSocketAddress("127.0.0.2", 4433), GIVEN, 1_000_001), "another address");
        assertNull(tokens.open(token, CLIENT, FIRST, 1_000_001), "another id");
        assertNull(
                new RetryTokens(Map.of(1, new byte[16]), 1, LIFE_MS, TOLERANCE_MS, () -> new WallTime(wallMs))
                        .open(token, CLIENT, GIVEN, 1_000_001),
                "no such key");
        RetryTokens rolled =
                new RetryTokens(Map.of(2, KEY, 3, new byte[16]), 3, LIFE_MS, TOLERANCE_MS, () -> new WallTime(wallMs));
        assertNotNull(
                rolled.open(token, CLIENT, GIVEN, 1_000_001), "another node, which seals with the next key already");
    }

    /** The layout on the wire: servers and nodes of other versions read it. */
    @Test
    void aTokenIsKeyNumberNonceAndTheSealedEndAndFirstId() {
        byte[] token = tokens.seal(CLIENT, FIRST, GIVEN, 5);
        assertEquals(1 + 12 + 8 + 1 + FIRST.length() + 16, token.length);
        assertEquals(2, token[0]);
        assertNotNull(node(() -> new WallTime(EPOCH_MS)).open(token, CLIENT, GIVEN, -1e9), "by the end alone");
    }

    /** The monotonic clock alone tells the age of a node's own tokens, and may have any origin. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -3_000, 0, 3_000, 3_600_000, 1_000_000_000_000L})
    void aStepOfTheWallClockChangesNothingForOwnTokens(long stepMs) {
        for (double originMs : new double[] {-1e9, -0.5, 0, 1e9}) {
            wallMs = EPOCH_MS;
            byte[] token = tokens.seal(CLIENT, FIRST, GIVEN, originMs);
            wallMs += stepMs;
            assertNotNull(tokens.open(token, CLIENT, GIVEN, originMs + 1));
            assertNotNull(tokens.open(token, CLIENT, GIVEN, originMs + LIFE_MS - 1));
            assertNull(tokens.open(token, CLIENT, GIVEN, originMs + LIFE_MS + 1.5), "its time is not longer either");
        }
    }

    /** Another node's clock may differ, or have stepped since; a client accepts one Retry only. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -3_000, 0, 3_000, 3_600_000})
    void anotherNodesTokenHoldsThoughItsWallClockDiffers(long differenceMs) {
        RetryTokens other = node(() -> new WallTime(EPOCH_MS + differenceMs));
        byte[] token = tokens.seal(CLIENT, FIRST, GIVEN, 1_000_000);
        assertNotNull(other.open(token, CLIENT, GIVEN, 77));
        assertNotNull(tokens.open(other.seal(CLIENT, FIRST, GIVEN, 77), CLIENT, GIVEN, 1_000_000));
        wallMs += LIFE_MS - 1;
        assertNotNull(tokens.open(other.seal(CLIENT, FIRST, GIVEN, 77), CLIENT, GIVEN, 1_000_000));
        assertNull(other.open(token, new InetSocketAddress("127.0.0.1", 4434), GIVEN, 77), "from elsewhere");
    }

    /** The tolerance is bounded: whoever once had an address cannot prove it for ever. */
    @Test
    void anotherNodesTokenEndsAfterTheTolerance() {
        byte[] token = tokens.seal(CLIENT, FIRST, GIVEN, 1_000_000);
        for (long ageMs : new long[] {-TOLERANCE_MS, 0, LIFE_MS + TOLERANCE_MS}) {
            assertNotNull(node(() -> new WallTime(EPOCH_MS + ageMs)).open(token, CLIENT, GIVEN, 77), "age " + ageMs);
        }
        for (long ageMs : new long[] {-TOLERANCE_MS - 1, LIFE_MS + TOLERANCE_MS + 1}) {
            assertNull(node(() -> new WallTime(EPOCH_MS + ageMs)).open(token, CLIENT, GIVEN, 77), "age " + ageMs);
        }
    }

    /** A nonce that comes twice under one key would give the key away. */
    @Test
    void noNonceComesTwice() {
        Set<String> nonces = new HashSet<>();
        RetryTokens other = node(() -> new WallTime(wallMs));
        for (int i = 0; i < 20_000; i++) {
            for (RetryTokens sealing : List.of(tokens, other)) {
                nonces.add(HEX.formatHex(sealing.seal(CLIENT, FIRST, GIVEN, i / 5000.0), 1, 13));
            }
        }
        assertEquals(40_000, nonces.size());
    }

    @Property(tries = 500, seed = "71")
    void aForgedTokenIsAsNone(@ForAll long seed) {
        byte[] token = tokens.seal(CLIENT, FIRST, GIVEN, 1_000_000);
        assertNull(tokens.open(InputFuzzer.corrupt(token, seed), CLIENT, GIVEN, 1_000_001));
    }

    /** A number that swings around a threshold must not make the front flap. */
    @Property(tries = 200, seed = "72")
    void proofIsAskedForInBlocks(@ForAll long seed) {
        Random random = new Random(seed);
        RetryPolicy policy = new RetryPolicy(60, 40, 1000);
        boolean isRetryRequired = false;
        double now = 0;
        for (int i = 0; i < 2000; i++) {
            now += 10;
            int unproven = 50 + random.nextInt(19) - 9;
            isRetryRequired = policy.isRetryRequired(unproven, now);
        }
        assertTrue(!isRetryRequired && policy.changes() == 0, "between the bounds nothing changes");
        for (int i = 0; i < 2000; i++) {
            now += 10;
            policy.isRetryRequired(30 + random.nextInt(41), now);
        }
        assertTrue(
                policy.changes() >= 2 && policy.changes() <= 2 * 20 + 2,
                "at most once on and off a second: " + policy.changes());
    }

    /** QUIC-LB: the upper bits select the configuration, and with it the length; unroutable IDs encode their length. */
    @Test
    void configurationsAreToldApartByTheFirstByte() {
        ServerIds zero = new ServerIds(0, 3, 4, null);
        ServerIds six = new ServerIds(6, 8, 8, new byte[16]);
        ConnectionIdConfigurations ids = new ConnectionIdConfigurations()
                .with(zero, Map.of("000001", "a"))
                .with(six, Map.of("0000000000000001", "b"));
        ConnectionId a = zero.id(new byte[] {0, 0, 1}, new byte[4]);
        ConnectionId b = six.id(new byte[] {0, 0, 0, 0, 0, 0, 0, 1}, new byte[8]);
        assertEquals("a", ids.route(a).endpointId());
        assertEquals("b", ids.route(b).endpointId());
        assertEquals(8, ids.length(a.bytes()[0] & 0xFF));
        assertEquals(17, ids.length(b.bytes()[0] & 0xFF));
        assertEquals(10, ids.length(0xE0 | 9));
        assertEquals(5, ids.length(0x20 | 4), "a configuration that is not known");
        assertNull(ids.route(new ConnectionId(HEX.parseHex("e9000001000000000000"))));
        assertNull(ids.route(new ConnectionId(new byte[0])));
        byte[] shortPacket = StandIns.shortPacket(b, 1);
        assertArrayEquals(
                b.bytes(),
                Packet.read(shortPacket, ids::length).get(0).destination().bytes());
    }
}

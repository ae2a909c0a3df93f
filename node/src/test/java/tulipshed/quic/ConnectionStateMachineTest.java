package tulipshed.quic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tulipshed.connectionid.ConnectionId;
import tulipshed.limits.Limits;
import tulipshed.limits.QuicLimits;
import tulipshed.quic.ConnectionStateMachine.Stage;
import tulipshed.quic.ConnectionStateMachine.Step;

/** One connection, packet by packet. */
class ConnectionStateMachineTest {
    private static final ConnectionId FIRST = new ConnectionId(new byte[] {1, 2, 3, 4, 5, 6, 7, 8});
    private static final ConnectionId CLIENT = new ConnectionId(new byte[] {9, 9});
    private static final ConnectionId SERVER = new ConnectionId(new byte[] {0x47, 1, 1, 1, 1, 1, 1, 1});
    private final QuicLimits limits = Limits.forDescriptors(1024).quic();
    private double nowMs = 1000;

    private static byte[] initial(byte[] frames) {
        return InitialKeys.client(Version.V1, FIRST).seal(FIRST, CLIENT, 0, Arrays.copyOf(frames, 1160));
    }

    private static byte[] hello(int from, int to) {
        byte[] whole = StandIns.hello("a.example", "slots", 2400);
        return initial(StandIns.crypto(from, Arrays.copyOfRange(whole, from, Math.min(to, whole.length))));
    }

    private ConnectionStateMachine opens(byte[] datagram) {
        ClientHelloAssembler opening = new ClientHelloAssembler(FIRST, limits.maxClientHelloBytes());
        opening.take(Packet.read(datagram, 8));
        return ConnectionStateMachine.opens(limits, FIRST, CLIENT, datagram, opening, false, nowMs);
    }

    private Step client(ConnectionStateMachine m, byte[] datagram) {
        return m.fromClient(datagram, Packet.read(datagram, 8), nowMs);
    }

    private Step member(ConnectionStateMachine m, byte[] datagram) {
        return m.fromMember(Packet.read(datagram, CLIENT.length()), nowMs);
    }

    private static byte[] served(ConnectionId to) {
        return InitialKeys.server(Version.V1, FIRST).seal(to, SERVER, 0, new byte[100]);
    }

    private static byte[] closed(int code) {
        return InitialKeys.server(Version.V1, FIRST).seal(CLIENT, SERVER, 0, InitialFrames.close(code, "no"));
    }

    @Test
    void aHelloInThreePartsArrivesOnceAndStands() {
        ConnectionStateMachine m = opens(hello(0, 1000));
        assertEquals(Stage.OPENING, m.stage());
        assertEquals(Step.HOLD, client(m, hello(2000, 3000)));
        assertEquals(Step.HOLD, client(m, hello(2000, 3000)));
        assertEquals(Step.ARRIVE, client(m, hello(1000, 2000)));
        assertEquals("a.example", m.takeOpening().hello().serverName());
        assertEquals(4, m.first().size(), "all of it goes to the member, in the order in which it came");
        assertEquals(
                Step.DROP,
                member(m, served(new ConnectionId(new byte[] {8, 8}))),
                "what is meant for who had the place before");
        assertEquals(Step.BEGIN, member(m, served(CLIENT)));
        m.stands();
        assertEquals(List.of(), m.first());
        assertEquals(Step.PASS, client(m, StandIns.shortPacket(SERVER, 1)));
        assertTrue(m.proven());
        assertFalse(m.readsInitials());
    }

    @Test
    void everyWayThatAMemberCanTakeAnInitial() {
        assertEquals(Step.REFUSED, member(opens(whole()), closed(InitialFrames.CONNECTION_REFUSED)));
        assertEquals(Step.FAILED, member(opens(whole()), closed(0x128)));
        byte[] spoilt = served(CLIENT);
        spoilt[60] ^= 1;
        assertEquals(Step.DROP, member(opens(whole()), spoilt), "who has no keys of it makes nothing of it");
        ConnectionStateMachine m = opens(whole());
        byte[] retry = RetryPacket.make(Version.V1, CLIENT, SERVER, FIRST, new byte[10], 3);
        assertEquals(Step.RETRIED, member(m, retry));
        assertEquals(SERVER, m.keyedBy());
        assertEquals(Step.DROP, member(m, served(CLIENT)), "what was sealed under the id before");
    }

    private static byte[] whole() {
        return initial(StandIns.crypto(0, StandIns.HELLO));
    }

    @Test
    void timeEndsEachStage() {
        ConnectionStateMachine m = opens(hello(0, 1000));
        assertEquals(Step.DROP, m.tick(nowMs + limits.clientHelloTimeoutMs(), false));
        assertEquals(Step.NEVER_WHOLE, m.tick(nowMs + limits.clientHelloTimeoutMs() + 1, false));
        m.answered(nowMs);
        assertEquals(Step.REPEAT, client(m, hello(0, 1000)));
        assertEquals(Step.DROP, member(m, served(CLIENT)));
        assertEquals(Step.DROP, m.tick(nowMs + limits.finalResponseRepeatMs(), false));
        assertEquals(Step.FORGET, m.tick(nowMs + limits.finalResponseRepeatMs() + 1, false));
        ConnectionStateMachine standing = opens(whole());
        assertEquals(Step.DROP, standing.tick(nowMs + 1e9, true), "while an answer is owed the core keeps the time");
        standing.stands();
        assertEquals(Step.SILENT, standing.tick(nowMs, true));
        assertEquals(Step.DROP, standing.tick(nowMs + limits.idleTimeoutMs(), false));
        assertEquals(Step.IDLE, standing.tick(nowMs + limits.idleTimeoutMs() + 1, false));
    }

    @Test
    void aWishTakenBackIsKnownBeforeAndAfterTheHelloIsWhole() {
        byte[] close = initial(InitialFrames.close(0, "never mind"));
        assertEquals(Step.TAKEN_BACK, client(opens(hello(0, 1000)), close));
        assertEquals(Step.TAKEN_BACK, client(opens(whole()), close));
    }

    /** A close behind another packet of its datagram, and one under the keys that the client had before it saw a Retry. */
    @Test
    void aWishTakenBackIsFoundInAnyPacketAndUnderTheKeysBeforeARetry() {
        byte[] close = initial(InitialFrames.close(0, "never mind"));
        byte[] acknowledgement =
                InitialKeys.client(Version.V1, FIRST).seal(FIRST, CLIENT, 1, new byte[] {2, 0, 0, 0, 0});
        byte[] both = Arrays.copyOf(acknowledgement, acknowledgement.length + close.length);
        System.arraycopy(close, 0, both, acknowledgement.length, close.length);
        assertEquals(Step.PASS, client(opens(whole()), acknowledgement));
        assertEquals(Step.TAKEN_BACK, client(opens(whole()), both));
        ConnectionStateMachine retried = opens(whole());
        assertEquals(
                Step.RETRIED, member(retried, RetryPacket.make(Version.V1, CLIENT, SERVER, FIRST, new byte[10], 3)));
        byte[] laterClose = InitialKeys.client(Version.V1, SERVER)
                .seal(SERVER, CLIENT, 1, Arrays.copyOf(InitialFrames.close(0, ""), 1160));
        assertEquals(Step.TAKEN_BACK, client(retried, laterClose));
        assertEquals(Step.TAKEN_BACK, client(retried, close), "sent before the Retry arrived");
    }

    /**
     * Whatever comes in whatever order: one arrival at most, three times the bytes of an address at most until it is proved,
     * and after the answer nothing but the answer.
     */
    @Property(tries = 2000, seed = "92")
    void noOrderOfPacketsBreaksItsWord(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] begun = random.nextBoolean() ? whole() : hello(0, 1000);
        ConnectionStateMachine m = opens(begun);
        int arrivals = m.stage() == Stage.OWED ? 1 : 0;
        long received = begun.length;
        long sent = 0;
        for (int i = 0; i < 40; i++) {
            nowMs += random.nextInt(30);
            boolean answered = m.stage() == Stage.ANSWERED;
            byte[] in = switch (random.nextInt(5)) {
                case 0 -> hello(1000, 2000);
                case 1 -> hello(2000, 3000);
                case 2 -> whole();
                case 3 -> StandIns.shortPacket(random.nextInt(4) == 0 ? SERVER : FIRST, i);
                default -> random.nextInt(6) == 0 ? initial(InitialFrames.close(0, "")) : hello(500, 900);
            };
            boolean provenBefore = m.proven();
            Step step = null;
            switch (random.nextInt(3)) {
                case 0 -> {
                    step = client(m, in);
                    received += in.length;
                    arrivals += step == Step.ARRIVE ? 1 : 0;
                    if (step == Step.BAD_HELLO || step == Step.TAKEN_BACK || step == Step.NEVER_WHOLE) {
                        m.answered(nowMs);
                    }
                }
                case 1 -> {
                    step = member(m, random.nextInt(4) == 0 ? closed(random.nextInt(3)) : served(CLIENT));
                    if (step == Step.BEGIN && random.nextBoolean()) {
                        m.stands();
                    } else if (step == Step.REFUSED) {
                        m.answered(nowMs);
                    }
                }
                default -> step = m.tick(nowMs, random.nextInt(10) == 0);
            }
            if (answered) {
                assertTrue(
                        step == Step.REPEAT || step == Step.DROP || step == Step.FORGET, "after its answer: " + step);
                assertEquals(Stage.ANSWERED, m.stage());
            }
            int bytes = 40 + random.nextInt(1400);
            if (m.maySend(bytes) && !m.proven()) {
                sent += bytes;
            }
            assertTrue(provenBefore || m.proven() || sent <= 3 * received, sent + " for " + received);
        }
        assertTrue(arrivals <= 1);
    }
}

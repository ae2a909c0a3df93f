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

/** The actions of one connection, datagram by datagram. */
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
        opening.addInitials(Packet.read(datagram, 8));
        return ConnectionStateMachine.opens(limits, FIRST, CLIENT, datagram, opening, false, nowMs);
    }

    private ConnectionAction client(ConnectionStateMachine m, byte[] datagram) {
        return m.fromClient(datagram, Packet.read(datagram, 8), nowMs);
    }

    private ConnectionAction endpoint(ConnectionStateMachine m, byte[] datagram) {
        return m.fromEndpoint(Packet.read(datagram, CLIENT.length()), nowMs);
    }

    private static byte[] served(ConnectionId to) {
        return InitialKeys.server(Version.V1, FIRST).seal(to, SERVER, 0, new byte[100]);
    }

    private static byte[] closed(int code) {
        return InitialKeys.server(Version.V1, FIRST).seal(CLIENT, SERVER, 0, InitialFrames.close(code, "no"));
    }

    @Test
    void clientHelloInThreeDatagramsStartsOneRequestAndIsEstablished() {
        ConnectionStateMachine m = opens(hello(0, 1000));
        assertEquals(ConnectionStage.AWAITING_CLIENT_HELLO, m.stage());
        assertEquals(ConnectionAction.AWAIT_CLIENT_HELLO, client(m, hello(2000, 3000)));
        assertEquals(ConnectionAction.AWAIT_CLIENT_HELLO, client(m, hello(2000, 3000)));
        assertEquals(ConnectionAction.START_REQUEST, client(m, hello(1000, 2000)));
        assertEquals("a.example", m.takeClientHello().hello().serverName());
        assertEquals(4, m.firstDatagrams().size(), "all of it goes to the endpoint, in the order of arrival");
        assertEquals(
                ConnectionAction.DROP,
                endpoint(m, served(new ConnectionId(new byte[] {8, 8}))),
                "a datagram for the flow that used the socket before");
        assertEquals(ConnectionAction.ESTABLISH, endpoint(m, served(CLIENT)));
        m.establish();
        assertEquals(List.of(), m.firstDatagrams());
        assertEquals(ConnectionAction.FORWARD, client(m, StandIns.shortPacket(SERVER, 1)));
        assertTrue(m.isAddressValidated());
        assertFalse(m.canReadInitial());
    }

    @Test
    void firstAnswerOfAnEndpointDecidesTheAction() {
        assertEquals(
                ConnectionAction.ENDPOINT_REFUSED, endpoint(opens(whole()), closed(InitialFrames.CONNECTION_REFUSED)));
        assertEquals(ConnectionAction.ENDPOINT_FAILED, endpoint(opens(whole()), closed(0x128)));
        byte[] spoilt = served(CLIENT);
        spoilt[60] ^= 1;
        assertEquals(ConnectionAction.DROP, endpoint(opens(whole()), spoilt), "a packet that fails authentication");
        ConnectionStateMachine m = opens(whole());
        byte[] retry = RetryPacket.make(Version.V1, CLIENT, SERVER, FIRST, new byte[10], 3);
        assertEquals(ConnectionAction.FORWARD_RETRY, endpoint(m, retry));
        assertEquals(SERVER, m.initialKeyId());
        assertEquals(ConnectionAction.DROP, endpoint(m, served(CLIENT)), "a packet under the keys before the Retry");
    }

    private static byte[] whole() {
        return initial(StandIns.crypto(0, StandIns.HELLO));
    }

    @Test
    void eachStageHasItsTimeout() {
        ConnectionStateMachine m = opens(hello(0, 1000));
        assertEquals(ConnectionAction.DROP, m.checkTimeouts(nowMs + limits.clientHelloTimeoutMs(), false));
        assertEquals(
                ConnectionAction.REFUSE_INCOMPLETE, m.checkTimeouts(nowMs + limits.clientHelloTimeoutMs() + 1, false));
        m.close(nowMs);
        assertEquals(ConnectionAction.REPEAT_ANSWER, client(m, hello(0, 1000)));
        assertEquals(ConnectionAction.DROP, endpoint(m, served(CLIENT)));
        assertEquals(ConnectionAction.DROP, m.checkTimeouts(nowMs + limits.finalResponseRepeatMs(), false));
        assertEquals(ConnectionAction.REMOVE, m.checkTimeouts(nowMs + limits.finalResponseRepeatMs() + 1, false));
        ConnectionStateMachine established = opens(whole());
        assertEquals(
                ConnectionAction.DROP,
                established.checkTimeouts(nowMs + 1e9, true),
                "while the request is pending the core has the timeout");
        established.establish();
        assertEquals(ConnectionAction.ENDPOINT_UNRESPONSIVE, established.checkTimeouts(nowMs, true));
        assertEquals(ConnectionAction.DROP, established.checkTimeouts(nowMs + limits.idleTimeoutMs(), false));
        assertEquals(
                ConnectionAction.IDLE_TIMEOUT, established.checkTimeouts(nowMs + limits.idleTimeoutMs() + 1, false));
    }

    @Test
    void clientCloseIsSeenBeforeAndAfterTheClientHelloIsComplete() {
        byte[] close = initial(InitialFrames.close(0, "never mind"));
        assertEquals(ConnectionAction.CLIENT_CLOSED, client(opens(hello(0, 1000)), close));
        assertEquals(ConnectionAction.CLIENT_CLOSED, client(opens(whole()), close));
    }

    /** A close behind another packet of its datagram, and one under the keys that the client had before it saw a Retry. */
    @Test
    void clientCloseIsSeenInAnyPacketAndUnderTheKeysBeforeARetry() {
        byte[] close = initial(InitialFrames.close(0, "never mind"));
        byte[] acknowledgement =
                InitialKeys.client(Version.V1, FIRST).seal(FIRST, CLIENT, 1, new byte[] {2, 0, 0, 0, 0});
        byte[] both = Arrays.copyOf(acknowledgement, acknowledgement.length + close.length);
        System.arraycopy(close, 0, both, acknowledgement.length, close.length);
        assertEquals(ConnectionAction.FORWARD, client(opens(whole()), acknowledgement));
        assertEquals(ConnectionAction.CLIENT_CLOSED, client(opens(whole()), both));
        ConnectionStateMachine retried = opens(whole());
        assertEquals(
                ConnectionAction.FORWARD_RETRY,
                endpoint(retried, RetryPacket.make(Version.V1, CLIENT, SERVER, FIRST, new byte[10], 3)));
        byte[] laterClose = InitialKeys.client(Version.V1, SERVER)
                .seal(SERVER, CLIENT, 1, Arrays.copyOf(InitialFrames.close(0, ""), 1160));
        assertEquals(ConnectionAction.CLIENT_CLOSED, client(retried, laterClose));
        assertEquals(ConnectionAction.CLIENT_CLOSED, client(retried, close), "sent before the Retry arrived");
    }

    /**
     * Invariants under any order of datagrams: at most one request, at most three times the received bytes sent until the
     * address is validated, and after the final answer nothing but its repetition.
     */
    @Property(tries = 2000, seed = "92")
    void anyOrderOfPacketsKeepsTheInvariants(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] begun = random.nextBoolean() ? whole() : hello(0, 1000);
        ConnectionStateMachine m = opens(begun);
        int arrivals = m.stage() == ConnectionStage.PENDING ? 1 : 0;
        long received = begun.length;
        long sent = 0;
        for (int i = 0; i < 40; i++) {
            nowMs += random.nextInt(30);
            boolean answered = m.stage() == ConnectionStage.CLOSED;
            byte[] in = switch (random.nextInt(5)) {
                case 0 -> hello(1000, 2000);
                case 1 -> hello(2000, 3000);
                case 2 -> whole();
                case 3 -> StandIns.shortPacket(random.nextInt(4) == 0 ? SERVER : FIRST, i);
                default -> random.nextInt(6) == 0 ? initial(InitialFrames.close(0, "")) : hello(500, 900);
            };
            boolean provenBefore = m.isAddressValidated();
            ConnectionAction step = null;
            switch (random.nextInt(3)) {
                case 0 -> {
                    step = client(m, in);
                    received += in.length;
                    arrivals += step == ConnectionAction.START_REQUEST ? 1 : 0;
                    if (step == ConnectionAction.REFUSE_MALFORMED
                            || step == ConnectionAction.CLIENT_CLOSED
                            || step == ConnectionAction.REFUSE_INCOMPLETE) {
                        m.close(nowMs);
                    }
                }
                case 1 -> {
                    step = endpoint(m, random.nextInt(4) == 0 ? closed(random.nextInt(3)) : served(CLIENT));
                    if (step == ConnectionAction.ESTABLISH && random.nextBoolean()) {
                        m.establish();
                    } else if (step == ConnectionAction.ENDPOINT_REFUSED) {
                        m.close(nowMs);
                    }
                }
                default -> step = m.checkTimeouts(nowMs, random.nextInt(10) == 0);
            }
            if (answered) {
                assertTrue(
                        step == ConnectionAction.REPEAT_ANSWER
                                || step == ConnectionAction.DROP
                                || step == ConnectionAction.REMOVE,
                        "after its answer: " + step);
                assertEquals(ConnectionStage.CLOSED, m.stage());
            }
            int bytes = 40 + random.nextInt(1400);
            if (m.maySend(bytes) && !m.isAddressValidated()) {
                sent += bytes;
            }
            assertTrue(provenBefore || m.isAddressValidated() || sent <= 3 * received, sent + " for " + received);
        }
        assertTrue(arrivals <= 1);
    }
}

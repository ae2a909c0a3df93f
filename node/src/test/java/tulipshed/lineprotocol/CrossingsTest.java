package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.limits.Limits;

/**
 * Events that cross, on real sockets: the loop is held at the decisive point until the other event has happened too, so
 * that each test meets the one order that it is about. docs/crossings.md has them all.
 */
class CrossingsTest extends LineFrontBench {
    private static final String OTHER = OPEN.replace("9b1f", "0ther");
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch happened = new CountDownLatch(1);
    private final CompletableFuture<Void> decided = new CompletableFuture<>();

    /** On the loop: stops there until the test says that the other event has happened. */
    private void hold() {
        atArrival = () -> {};
        atEnd = () -> {};
        reached.countDown();
        await(happened);
    }

    /** Holds the loop in a task of its own, and then does this at once, with nothing heard in between. */
    private void holdAndThen(Runnable decision) {
        loop.execute(() -> {
            hold();
            try {
                decision.run();
                decided.complete(null);
            } catch (RuntimeException | AssertionError e) {
                decided.completeExceptionally(e);
            }
        });
        await(reached);
    }

    /** The other event has happened; returns once the loop has decided, and fails where that threw. */
    private void happenedAndDecided() throws Exception {
        happened.countDown();
        decided.get(10, TimeUnit.SECONDS);
    }

    private void leave(End client, String how) throws IOException {
        if (how.equals("RST")) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }

    /** The first that reaches a member now is another client's. */
    private void nothingWasSentBefore() throws IOException {
        try (End other = client()) {
            other.say(OTHER);
            try (End server = taken()) {
                assertTrue(String.valueOf(server.hear()).startsWith("OPEN 0ther "), "no attempt for one that has gone");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void aClientThatLeavesBeforeItsFirstAttemptIsNotDialledFor(String how) throws Exception {
        atArrival = this::hold;
        End client = client();
        client.say(OPEN);
        await(reached);
        leave(client, how);
        happened.countDown();
        assertEquals(Outcome.CANCELLED, ends.poll(5, TimeUnit.SECONDS));
        nothingWasSentBefore();
    }

    /** Its end waits unread behind early bytes, which a client may send. */
    @Test
    void anEndBehindEarlyBytesIsSeenBeforeAnAttemptBegins() throws Exception {
        atArrival = this::hold;
        End client = client();
        client.say(OPEN);
        await(reached);
        client.say("M 1 early\r\n");
        client.close();
        happened.countDown();
        assertEquals(Outcome.CANCELLED, ends.poll(5, TimeUnit.SECONDS));
        nothingWasSentBefore();
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void aClientThatLeavesBetweenTwoAttemptsIsNotSentToTheNext(String how) throws Exception {
        listSecond();
        try (End client = client()) {
            client.say(OPEN);
            second.setSoTimeout(20);
            member.setSoTimeout(20);
            try (End server = new End(acceptedBy())) {
                server.hear();
                atEnd = this::hold;
                server.say("BUSY\r\n");
                await(reached);
                leave(client, how);
                happened.countDown();
                assertEquals(Outcome.FULL, ends.poll(5, TimeUnit.SECONDS));
                assertEquals(Outcome.CANCELLED, ends.poll(5, TimeUnit.SECONDS));
            }
            try (End other = client()) {
                other.say(OTHER);
                try (End server = new End(acceptedBy())) {
                    assertTrue(
                            String.valueOf(server.hear()).startsWith("OPEN 0ther "),
                            "no attempt for one that has gone");
                }
            }
        }
    }

    /** Whichever of the two members is asked first. */
    private Socket acceptedBy() throws IOException {
        for (int i = 0; i < 250; i++) {
            try {
                return (i % 2 == 0 ? member : second).accept();
            } catch (java.net.SocketTimeoutException none) {
                assertTrue(i < 249, "no member was asked");
            }
        }
        throw new IllegalStateException();
    }

    /** It waits until a member serves, leaves, and one serves in the same moment. */
    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void aClientThatLeftWhileNoMemberServedIsNotSentOn(String how) throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> {
            core.endpointsChanged(
                    EndpointListKind.CHANGES, java.util.List.of(listed("s-1", EndpointStatus.DRAINING, member)));
            drained.countDown();
        });
        await(drained);
        CountDownLatch arrived = new CountDownLatch(1);
        atArrival = arrived::countDown;
        End client = client();
        client.say(OPEN);
        await(arrived);
        holdAndThen(() -> core.endpointsChanged(
                EndpointListKind.CHANGES, java.util.List.of(listed("s-1", EndpointStatus.SERVING, member))));
        leave(client, how);
        happenedAndDecided();
        nothingWasSentBefore();
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIN", "RST"})
    void aClientThatLeavesWhileTheConnectionIsMadeIsNotSentOn(String how) throws Exception {
        // After the turn that dials, and before the loop hears that the connection is up.
        atArrival = () -> loop.execute(this::hold);
        End client = client();
        client.say(OPEN);
        await(reached);
        try (End server = taken()) {
            leave(client, how);
            happened.countDown();
            assertNull(server.hear(), "the member reads nothing of it");
            assertEquals(Outcome.CANCELLED, ends.poll(5, TimeUnit.SECONDS), "nothing is held against the member");
        }
    }

    @Test
    void aMemberThatBeginsToDrainWhileTheConnectionIsMadeIsSentNothing() throws Exception {
        atArrival = () -> loop.execute(() -> {
            hold();
            core.endpointsChanged(
                    EndpointListKind.CHANGES, java.util.List.of(listed("s-1", EndpointStatus.DRAINING, member)));
        });
        try (End client = client()) {
            client.say(OPEN);
            await(reached);
            try (End server = taken()) {
                happened.countDown();
                assertNull(server.hear(), "the member reads nothing of it");
            }
            assertEquals(Outcome.CONNECT_FAILED, ends.poll(5, TimeUnit.SECONDS));
        }
    }

    /** Without this one whose line comes in the last moment would be told ERR, over bytes that nobody has read. */
    @Test
    void aFirstLineThatComesAsItsTimeEndsIsServed() throws Exception {
        try (End client = client()) {
            client.say("PING\r\n");
            assertEquals("PONG", client.hear());
            holdAndThen(() -> front.unserved.late(Double.MAX_VALUE).forEach(ClientSession::neverOpened));
            client.say(OPEN);
            happenedAndDecided();
            servedAs(client);
        }
    }

    @Test
    void aFirstLineThatComesAsItsDescriptorIsWantedIsServed() throws Exception {
        try (End client = client()) {
            client.say("PING\r\n");
            assertEquals("PONG", client.hear());
            holdAndThen(() -> front.unserved.closeOne());
            client.say(OPEN);
            happenedAndDecided();
            servedAs(client);
        }
    }

    @Test
    void aFirstLineThatComesAsTheNodeTurnsRestingClientsAwayIsTaken() throws Exception {
        try (End client = client()) {
            client.say("PING\r\n");
            assertEquals("PONG", client.hear());
            holdAndThen(() -> front.rejectWaitingClients());
            client.say(OPEN);
            happenedAndDecided();
            servedAs(client);
        }
    }

    private void servedAs(End client) throws IOException {
        try (End server = taken()) {
            server.hear();
            server.say("UP r1\r\n");
            assertEquals("UP r1", client.hear());
        }
    }

    /**
     * The node has closed, and not reset: reading shows the end that came before either way, but the kernel takes what is
     * written to a connection that was ended, and nothing for one that was reset.
     */
    private void assertEnded(End client) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        loop.execute(closed::countDown);
        await(closed);
        assertNull(client.hear());
        client.say("and still no reset\r\n");
    }

    /** A close over bytes that nobody has read would be a reset, and BUSY might go with it. */
    @ParameterizedTest
    @ValueSource(strings = {"", "OPEN 9b", "frob\r\n"})
    void oneThatGivesWayIsToldSoAndSeesAnEndAlsoOverUnreadBytes(String unread) throws Exception {
        try (End client = client()) {
            client.say("PING\r\n");
            assertEquals("PONG", client.hear());
            holdAndThen(() -> assertTrue(front.unserved.closeOne()));
            client.say(unread);
            happenedAndDecided();
            String told = client.hear();
            assertTrue(told.equals("ERR") || told.matches("BUSY [0-9]+"), told);
            assertEnded(client);
        }
    }

    /** The same for one that lingers after its last line, and goes on sending. */
    @Test
    void oneThatHadItsAnswerSeesAnEndAlsoOverUnreadBytes() throws Exception {
        try (End client = client()) {
            client.say("frob\r\n");
            assertEquals("ERR", client.hear());
            holdAndThen(() -> assertTrue(front.unserved.closeOne()));
            client.say("OPEN and more that nobody wants\r\n");
            happenedAndDecided();
            assertEnded(client);
        }
    }

    /** The time for reading its last line ends as more of it comes: still an end, and no reset. */
    @Test
    void oneThatLingeredSeesAnEndAlsoOverUnreadBytes() throws Exception {
        stop();
        Limits usual = Limits.forDescriptors(1024);
        Limits.Sockets s = usual.sockets();
        long lingerMs = 300;
        start(usual.with(new Limits.Sockets(
                s.relayBytes(),
                s.readBytes(),
                s.descriptors(),
                s.reservedDescriptors(),
                s.backlog(),
                s.maxReadsPerEvent(),
                s.maxAcceptsPerEvent(),
                lingerMs,
                s.sweepIntervalMs(),
                s.overloadRetryAfterMs())));
        try (End client = client()) {
            client.say("frob\r\n");
            assertEquals("ERR", client.hear());
            // Held until the time has ended, so that its end is the next that the loop looks at, and the bytes are
            // there before.
            holdAndThen(() -> {
                long untilNs = System.nanoTime() + lingerMs * 1_000_000;
                while (System.nanoTime() < untilNs) {
                    Thread.onSpinWait();
                }
            });
            client.say("OPEN and more that nobody wants\r\n");
            happenedAndDecided();
            assertEnded(client);
        }
    }

    /** A request that comes after the last line has been answered by it; it is read and goes nowhere. */
    @Test
    void aRequestAfterTheLastLineIsNotSentOn() throws Exception {
        try (End client = client()) {
            client.say("PING\r\n");
            assertEquals("PONG", client.hear());
            holdAndThen(() -> {
                front.rejectWaitingClients();
                assertFalse(front.unserved.opening().iterator().hasNext());
            });
            happenedAndDecided();
            assertTrue(client.hear().matches("BUSY [0-9]+"));
            client.say(OPEN);
            assertNull(client.hear());
        }
        nothingWasSentBefore();
    }

    /** Half a line of the member's stands in the splitter as the client is moved: MOVE stands between two lines. */
    @Test
    void halfALineOfTheMembersDoesNotReachAClientThatIsMoved() throws Exception {
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                server.hear();
                server.say("UP r1\r\n");
                assertEquals("UP r1", client.hear());
                holdAndThen(() -> core.migrateOldest());
                server.say("M 1 who");
                happenedAndDecided();
                assertEquals("MOVE", client.hear());
                assertNull(client.hear());
            }
        }
    }

    /** An answer cut in the middle is none, and what comes some milliseconds after an answer is not another. */
    @ParameterizedTest
    @ValueSource(strings = {"U", "UP", "UP r1", "UP r1\r"})
    void anAnswerCutInTheMiddleIsAReset(String cut) throws Exception {
        try (End client = client()) {
            client.say(OPEN.replace("d=4000", "d=300"));
            try (End server = taken()) {
                server.hear();
                server.say(cut);
                server.socket.shutdownOutput();
                assertEquals(Outcome.RESET, ends.poll(5, TimeUnit.SECONDS));
            }
            assertTrue(client.hear().startsWith("BUSY"), "and nothing of it reaches the client");
        }
    }

    @Test
    void aSecondAnswerAfterATurningAwayReachesNobody() throws Exception {
        try (End client = client()) {
            client.say(OPEN.replace("d=4000", "d=300"));
            try (End server = taken()) {
                server.hear();
                server.say("BUSY\r\nUP r1\r\n");
                assertEquals(Outcome.FULL, ends.poll(5, TimeUnit.SECONDS));
            }
            assertTrue(client.hear().matches("BUSY [0-9]+"));
            assertNull(client.hear());
        }
    }
}

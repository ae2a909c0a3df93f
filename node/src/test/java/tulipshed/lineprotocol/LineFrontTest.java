package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.BalancerApi;
import tulipshed.limits.Limits;
import tulipshed.transport.UdpSocket;

/** The platform's front: what each side hears of the other. */
class LineFrontTest extends LineFrontBench {
    @Test
    void aConnectionIsOpenedRelayedAndEndedTheWayItsMemberEndsIt() throws IOException {
        try (End client = client()) {
            client.say("PING\r\n");
            assertEquals("PONG", client.hear());
            client.say(OPEN.substring(0, 20));
            client.say(OPEN.substring(20));
            try (End server = taken()) {
                String line = server.hear();
                assertTrue(line.matches("OPEN 9b1f k c=slot-board,t=melnik-terminal,d=[0-9]+"), line);
                server.say("UP r1\r\n");
                assertEquals("UP r1", client.hear());
                client.say("M 1 x\r\n");
                assertEquals("M 1 x", server.hear());
                server.say("M 1 x\r\nBYE\r\n");
                server.socket.shutdownOutput();
                assertEquals("M 1 x", client.hear());
                assertEquals("BYE", client.hear());
                assertNull(client.hear());
            }
        }
    }

    /** Seen on a trouble day: a LOAD line was taken for a load where the settings tell of delays only. */
    @Test
    void aLoadLineIsADelayWhereTheSettingsSaySo() throws Exception {
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                server.say("UP r1\r\nLOAD 61.5\r\n");
                assertEquals("UP r1", client.hear());
                assertEquals("LOAD 61.5", client.hear());
                assertEquals(61.5, delays.poll(5, TimeUnit.SECONDS));
                assertTrue(loads.isEmpty());
            }
        }
    }

    /** Taken for a load, NaN would spoil all sums of the module for good; each line used to be quoted in the log. */
    @Test
    void aLoadThatIsNoneIsPassedOnToTheClientAndNotBelieved() throws Exception {
        restart("\"TellsLoad\": false", "\"TellsLoad\": true");
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                server.say("UP r1\r\n");
                assertEquals("UP r1", client.hear());
                for (String bad : List.of("NaN", "-1", "Infinity", "1e300", "", "x", "1 2", "7".repeat(400))) {
                    server.say("LOAD " + bad + "\r\n");
                    assertEquals(("LOAD " + bad).strip(), client.hear().strip());
                }
                server.say("LOAD\r\nLOAD 1200.5\r\n");
                assertEquals(1200.5, loads.poll(5, TimeUnit.SECONDS));
                assertTrue(loads.isEmpty() && delays.isEmpty());
            }
        }
        assertTrue(
                log.stream().noneMatch(l -> (l.contains("x") && l.contains("LOAD")) || l.contains("777")),
                log::toString);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "UP r1|BYE inflight=7,queue=2,util=0.61; OK; 2; 0.61",
                "ERR queue=3; ERROR; 3; NaN",
                "BUSY x0=1.5,util=1; FULL; NaN; 1",
                "BUSY; FULL; NaN; NaN",
                "BUSY queue=-3,util=1; FULL; NaN; NaN",
                "BUSY queue=1,queue=2; FULL; NaN; NaN",
                "ERR queue; ERROR; NaN; NaN"
            })
    void answersCloseWithAReportWhereTheSettingsSaySo(
            String said, BalancerApi.Outcome outcome, double queue, double cpu) throws Exception {
        restart("\"How\": \"off\"", "\"How\": \"inline\"");
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                server.say(said.replace("|", "\r\n") + "\r\n");
                server.socket.shutdownOutput();
                assertEquals(outcome, ends.poll(5, TimeUnit.SECONDS));
                BalancerApi.LoadReport report = reports.poll(5, TimeUnit.SECONDS);
                assertEquals(queue, report.queue());
                assertEquals(cpu, report.cpu());
            }
        }
    }

    @Test
    void aReportThatTheSettingsDoNotPromiseIsNotBelieved() throws Exception {
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                server.say("BUSY queue=9\r\n");
                assertEquals(BalancerApi.LoadReport.NONE, reports.poll(5, TimeUnit.SECONDS));
            }
        }
    }

    @Test
    void aMalformedFirstLineFailsAndIsNotForwarded() throws IOException {
        try (End client = client()) {
            client.say("OPEN 9b1f k c=nothing,d=5\r\n");
            assertEquals("ERR", client.hear());
            assertNull(client.hear());
        }
        member.setSoTimeout(100);
        assertThrows(IOException.class, () -> member.accept());
    }

    @Test
    void aResetOfTheMemberReachesTheClientAsAReset() throws IOException {
        try (End client = client()) {
            client.say(OPEN);
            End server = taken();
            server.say("UP r1\r\n");
            assertEquals("UP r1", client.hear());
            server.socket.setSoLinger(true, 0);
            server.close();
            assertThrows(IOException.class, client::hear);
        }
    }

    /** Buffers are bounded, so a slow reader stops its peer; nothing may be lost or cut by that. */
    @Test
    void muchMoreThanTheBuffersHoldArrivesWholeBothWays() throws Exception {
        StringBuilder text = new StringBuilder();
        for (int i = 0; text.length() < 3_000_000; i++) {
            text.append(i).append("x".repeat(i * 31 % 3000)).append("\r\n");
        }
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                server.hear();
                server.say("UP r1\r\n");
                client.hear();
                for (End[] way : new End[][] {{client, server}, {server, client}}) {
                    Thread sender = new Thread(() -> {
                        try {
                            way[0].say(text.toString());
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    });
                    sender.start();
                    for (String line : text.toString().split("\r\n")) {
                        assertEquals(line, way[1].hear());
                    }
                    sender.join();
                }
            }
        }
    }

    /** What comes back from a member, then the end of its connection, and the outcome that stands for it. */
    @ParameterizedTest
    @CsvSource({
        "'', RESET",
        "BUSY, FULL",
        "ERR, ERROR",
        "SYNTAX, ERROR",
        "MOVE, CANCELLED",
        "UP r;BYE, OK",
        "UP r;MOVE, CANCELLED",
        "UP r, RESET"
    })
    void outcomesAreThoseOfTheProtocol(String lines, BalancerApi.Outcome outcome) throws Exception {
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                server.hear();
                server.say(lines.isEmpty() ? "" : lines.replace(";", "\r\n") + "\r\n");
            }
            assertEquals(outcome, ends.poll(5, TimeUnit.SECONDS));
        }
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        member.close();
        try (End client = client()) {
            client.say(OPEN);
            assertEquals(BalancerApi.Outcome.CONNECT_FAILED, ends.poll(5, TimeUnit.SECONDS));
        }
    }

    /** A machine that vanishes resets nothing: only the missing replies show it. */
    @Test
    void aMemberThatFallsSilentLosesItsClientByAMove() throws Exception {
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                server.say("UP r1\r\n");
                assertEquals("UP r1", client.hear());
                client.say("M 1 x\r\n");
                assertEquals("MOVE", client.hear());
                assertNull(client.hear());
                assertEquals(BalancerApi.Outcome.RESET, ends.poll(5, TimeUnit.SECONDS));
            }
        }
    }

    @Test
    void oneThatIsTurnedAwayEverywhereIsToldWhenToComeBack() throws IOException {
        try (End client = client()) {
            client.say(OPEN.replace("d=4000", "d=300"));
            try (End server = taken()) {
                server.hear();
                server.say("BUSY\r\n");
                assertTrue(client.hear().matches("BUSY [0-9]+"));
            }
        }
    }

    /** Seen on a rude day: members were sent the same bad request six times over, and answered ERR to each. */
    @Test
    void theIdOfAnOpenTransactionIsNotServedTwice() throws IOException {
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                server.say("UP r1\r\n");
                assertEquals("UP r1", client.hear());
                try (End thief = client()) {
                    thief.say(OPEN.replace(" k ", " other "));
                    assertEquals("ERR", thief.hear());
                }
                client.say("M 1 x\r\n");
                server.hear();
                assertEquals("M 1 x", server.hear(), "the first one stands");
                server.say("BYE\r\n");
            }
            assertEquals("BYE", client.hear());
            assertNull(client.hear());
        }
        try (End client = client()) {
            client.say(OPEN);
            try (End server = taken()) {
                assertTrue(server.hear().startsWith("OPEN"), "free again once its transaction is over");
            }
        }
    }

    /** A client that says nothing, or never all of it, or only pings, must not hold its connection. */
    @ParameterizedTest
    @ValueSource(strings = {"", "OPEN 9b", "PING\r\n"})
    void whoeverDoesNotOpenIsToldWithinThreeSeconds(String said) throws IOException {
        long sinceNs = System.nanoTime();
        try (End client = client()) {
            client.say(said);
            String heard = client.hear();
            assertEquals("ERR", heard.equals("PONG") ? client.hear() : heard);
            assertTrue(System.nanoTime() - sinceNs < 3_000_000_000L);
        }
    }

    @Test
    void pingsAreAnsweredUpToABound() throws IOException {
        try (End client = client()) {
            client.say("PING\r\n".repeat(100_000));
            for (int i = 0; i < Limits.forDescriptors(1024).lineProtocol().pings(); i++) {
                assertEquals("PONG", client.hear());
            }
            assertEquals("ERR", client.hear());
            assertNull(client.hear());
        }
    }

    @Test
    void hundredsOfCommandsAtOnceAreAnErrorAndNotPassedOn() throws Exception {
        try (End client = client()) {
            client.say(OPEN.repeat(400));
            assertEquals("ERR", client.hear());
            assertNull(client.hear());
        }
        // Whatever of it a member saw was one line of the client's, and that flow has ended.
        member.setSoTimeout(300);
        try (End server = taken()) {
            String first = server.hear();
            assertTrue(first == null || server.hear() == null);
        } catch (java.net.SocketTimeoutException none) {
            assertTrue(ends.isEmpty());
        }
    }

    /** A value of 60 MB: the error comes at once, and the loop goes on serving others meanwhile. */
    @Test
    void aLineThatNeverEndsIsAnErrorAtOnce() throws Exception {
        try (End client = client();
                End other = client()) {
            Thread sender = new Thread(() -> {
                try {
                    client.say("OPEN 1 k c=" + "x".repeat(60_000_000));
                } catch (IOException closed) {
                    // The node need not take all of it.
                    return;
                }
            });
            sender.start();
            assertEquals("ERR", client.hear());
            other.say("PING\r\n");
            assertEquals("PONG", other.hear());
            sender.join(10_000);
        }
    }

    /** Hundreds of bad lines must not fill the log, nor put into it what clients wrote. */
    @Test
    void theLogCountsBadClientsAndDoesNotQuoteThem() throws Exception {
        for (int i = 0; i < 50; i++) {
            try (End client = client()) {
                client.say("OPEN 1 k c=forged-log-line,t=melnik-terminal,d=5\r\n");
                assertEquals("ERR", client.hear());
            }
        }
        Thread.sleep(2 * (long) Limits.forDescriptors(1024).sockets().sweepIntervalMs());
        assertTrue(log.size() >= 1 && log.size() <= 2, log.toString());
        assertTrue(log.get(0).startsWith("WARN client: clients rejected for malformed input: "), log.toString());
        assertTrue(log.stream().noneMatch(l -> l.contains("forged")), log.toString());
    }

    /** Without this the want of descriptors would look like a member that cannot be reached. */
    @Test
    void aFlowWithoutADescriptorIsTurnedAwayAndNotCountedAgainstTheMember() throws Exception {
        stop();
        start(Limits.forDescriptors(40));
        List<UdpSocket> ports = new ArrayList<>();
        try (End client = client()) {
            client.say("PING\r\n");
            assertEquals("PONG", client.hear());
            loop.execute(() -> {
                while (loop.hasCapacityForUpstream()) {
                    try {
                        ports.add(loop.bindUdp(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                ByteBuffer.allocate(8),
                                (from, datagram) -> {}));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }
            });
            client.say(OPEN);
            assertTrue(client.hear().matches("BUSY [0-9]+"));
            assertEquals(BalancerApi.Outcome.UNUSED, ends.poll(5, TimeUnit.SECONDS));
        }
        loop.execute(() -> ports.forEach(UdpSocket::close));
    }
}

package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.config.NameIndex;

/** A client that has sent a complete open command gets exactly one final response, however its connection is closed. */
class ClientCloseResponseTest extends RaceConditionFixture {
    private static final String CHUNK = "x".repeat(1_022) + "\r\n";

    private static void assertOneResponse(LineSocket client, String pattern) throws IOException {
        String response = String.valueOf(client.readLine());
        assertTrue(response.matches(pattern), response);
        assertNull(client.readLine(), "one response only");
    }

    @Test
    void failsClientThatHalfClosesAfterItsOpenCommand() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            client.socket.shutdownOutput();
            assertOneResponse(client, "ERR");
        }
    }

    @Test
    void rejectsClientWhoseOpenCommandIsUnreadForLackOfDescriptors() throws Exception {
        holdLoopThenRun(() -> {
            while (loop.hasCapacityForUpstream()) {
                bindUdp();
            }
        });
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            releaseLoopAndAwaitTask();
            assertOneResponse(client, "BUSY [0-9]+");
        }
    }

    private void bindUdp() {
        try {
            loop.bindUdp(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    ByteBuffer.allocate(8),
                    (from, datagram) -> {});
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void answersFirstOfTwoOpenCommandsOnOneConnectionAtShutdown() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND + OTHER_OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.readLine();
                loop.execute(() -> core.rejectAllPending());
                assertOneResponse(client, "BUSY|ERR");
            }
        }
    }

    /** With a timeout below the margin for the response nothing is forwarded, but the client still gets its response. */
    @ParameterizedTest
    @ValueSource(ints = {5, 35})
    void answersRequestWithLittleTimeWithoutAttempt(int timeoutMs) throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND.replace("d=4000", "d=" + timeoutMs));
            assertOneResponse(client, "BUSY [0-9]+|ERR");
        }
        assertNothingForwardedBeforeNextClient();
    }

    /** The frontend has a class index that the core's settings lack, so the core throws when the request arrives. */
    @Test
    void failsClientWhoseRequestCausesException() throws Exception {
        runOnLoop(() -> {
            NameIndex names = new NameIndex(Map.of("slot-board", 99), Map.of("melnik-terminal", 0));
            frontend.reconfigure(names, false);
        });
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            assertOneResponse(client, "ERR");
        }
        runOnLoop(() -> frontend.context().defects().flush(Double.MAX_VALUE));
        try (LineSocket client = connectClient()) {
            client.send("frob\r\n");
            assertOneResponse(client, "ERR");
        }
        assertTrue(
                logLines.stream().anyMatch(line -> line.startsWith("WARN client: connections ended by a defect: 1")),
                logLines.toString());
    }

    @Test
    void failsClientWhenDecisionModuleThrowsAtRequestArrival() throws Exception {
        beforeRequestArrived = () -> {
            throw new IllegalStateException("planted");
        };
        assertFailedAtDeadline();
    }

    /** The end of the last attempt makes the decision module throw, so that no decision follows it. */
    @Test
    void failsClientWhenDecisionModuleThrowsAtEndOfLastAttempt() throws Exception {
        beforeAttemptEnded = () -> {
            throw new IllegalStateException("planted");
        };
        assertFailedAtDeadline();
    }

    private void assertFailedAtDeadline() throws IOException {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND.replace("d=4000", "d=100"));
            assertOneResponse(client, "ERR");
        }
    }

    /** The endpoint has closed its connection, and the client half-closes before it has read all queued bytes. */
    @Test
    void keepsQueuedBytesForClientThatHalfCloses() throws Exception {
        try (LineSocket client = connectClient()) {
            ClientSession session = sessionOf(client);
            int sentLines = queueLinesOfEndedEndpoint(client, session);
            client.socket.shutdownOutput();
            runOnLoop(session::readAvailableInput);
            assertReadsAll(client, sentLines);
        }
    }

    /** An idle client is evicted before one that still reads when a descriptor is needed. */
    @Test
    void evictsIdleClientBeforeOneThatStillReads() throws Exception {
        try (LineSocket client = connectClient();
                LineSocket idle = connectClient()) {
            ClientSession session = sessionOf(client);
            int sentLines = queueLinesOfEndedEndpoint(client, session);
            idle.send("PING\r\n");
            assertEquals("PONG", idle.readLine());
            runOnLoop(() -> assertTrue(frontend.unservedConnections().evictOne()));
            assertOneResponse(idle, "BUSY [0-9]+");
            assertReadsAll(client, sentLines);
        }
    }

    /**
     * Sends lines of the endpoint until the kernel accepts no more for the client, which does not read, then ends the
     * endpoint's output; returns the number of lines.
     */
    private int queueLinesOfEndedEndpoint(LineSocket client, ClientSession session) throws Exception {
        client.send(OPEN_COMMAND);
        try (LineSocket endpoint = acceptUpstream()) {
            endpoint.send("UP r1\r\n");
            assertEquals("UP r1", client.readLine());
            return onLoop(() -> {
                int sentLines = 0;
                while (session.queuedBytes() == 0) {
                    session.sendFromEndpoint(CHUNK.getBytes(StandardCharsets.US_ASCII));
                    sentLines++;
                }
                session.onUpstreamEndOfStream();
                return sentLines;
            });
        }
    }

    private static void assertReadsAll(LineSocket client, int sentLines) throws IOException {
        for (int i = 0; i < sentLines; i++) {
            assertEquals(CHUNK.strip(), client.readLine(), "line " + i + " of " + sentLines);
        }
        assertNull(client.readLine());
    }
}
